#include "gateway/peer_notes.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace copperfront {
namespace {

constexpr std::size_t kMaxNoteBytes = 256;
constexpr int kMaxNotesPerWakeup =
    64;  // bounds the time that a flood of notes takes from the rest of the event loop

}  // namespace

PeerNotes::PeerNotes(Loop& loop, const Address& listen_address, const std::vector<std::string>& peers,
                     std::function<void(std::string_view)> on_note)
    : on_note_(std::move(on_note)) {
    for (const std::string& peer : peers) peers_.push_back(Address::parse(peer));
    sockaddr_storage raw{};
    const int length = listen_address.fill_sockaddr(&raw);
    fd_ = ::socket(raw.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0 ||
        ::bind(fd_, reinterpret_cast<const sockaddr*>(&raw), static_cast<socklen_t>(length)) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd_ >= 0) ::close(fd_);
        throw NetworkError("cannot listen for peer notes on " + listen_address.text() + ": " + reason);
    }
    event_ = event_new(loop.base(), fd_, EV_READ | EV_PERSIST, &PeerNotes::on_readable, this);
    event_add(event_, nullptr);
}

PeerNotes::~PeerNotes() {
    event_free(event_);
    ::close(fd_);
}

Address PeerNotes::address() const {
    sockaddr_storage raw{};
    socklen_t length = sizeof raw;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &length);
    return Address::from_sockaddr(reinterpret_cast<const sockaddr*>(&raw));
}

// A note that cannot be sent is dropped; datagrams may be lost anyway.
void PeerNotes::send(std::string_view note) {
    if (note.size() > kMaxNoteBytes) return;
    for (const Address& peer : peers_) {
        sockaddr_storage raw{};
        const int length = peer.fill_sockaddr(&raw);
        if (::sendto(fd_, note.data(), note.size(), 0, reinterpret_cast<const sockaddr*>(&raw),
                     static_cast<socklen_t>(length)) >= 0)
            ++counts_.sent;
    }
}

void PeerNotes::on_readable(int, short, void* self) { static_cast<PeerNotes*>(self)->receive(); }

void PeerNotes::receive() {
    for (int n = 0; n < kMaxNotesPerWakeup; ++n) {
        std::array<char, kMaxNoteBytes + 1> bytes;
        sockaddr_storage raw{};
        socklen_t length = sizeof raw;
        const ssize_t size =
            ::recvfrom(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&raw), &length);
        if (size < 0) return;
        const std::string sender = Address::from_sockaddr(reinterpret_cast<const sockaddr*>(&raw)).text();
        bool known = false;
        for (const Address& peer : peers_) known |= peer.text() == sender;
        if (!known || static_cast<std::size_t>(size) > kMaxNoteBytes) {
            ++counts_.dropped;
            continue;
        }
        ++counts_.received;
        on_note_({bytes.data(), static_cast<std::size_t>(size)});
    }
}

}  // namespace copperfront
