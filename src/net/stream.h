// A connection of bytes: what lines and HTTP both stand on. Bounds are kept here: a peer that never reads, or
// sends more than is taken, costs no more than was allowed.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/loop.h"

struct bufferevent;

namespace copperfront {

enum class Closing {
    peer_ended,      // the peer closed in good order
    broken,          // reset, or another error of the socket
    not_made,        // dialled, but never connected (nothing was sent)
    line_too_long,   // the peer's line passed the bound
    reader_too_slow  // the peer left more unread than the bound
};
const char* text_of(Closing why);

class Stream : public Buried, private Loop::AfterEvent {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // After a dial only.
        virtual void stream_made(Stream&) {}
        // More bytes are held. The owner takes what it can with front() and drain(), or pull(), and may bury
        // the stream within the call.
        virtual void bytes_came(Stream&) = 0;
        // All that was queued has been written out.
        virtual void all_sent(Stream&) {}
        // Once, and nothing after it. `what` is a plain reason. Never from within send().
        virtual void stream_closed(Stream&, Closing why, const std::string& what) = 0;
    };

    // `unsent_bytes`: the most that may wait for a peer that does not read; `held_bytes`: past it no more is
    // read before some is taken; 0: no such bound.
    struct Bounds {
        std::size_t unsent_bytes = 4 << 20, held_bytes = 0;
    };

    static std::unique_ptr<Stream> accepted(Loop& loop, int fd, const Bounds& bounds, Owner& owner);
    // stream_made or stream_closed (not_made) follows, never from within this call.
    static std::unique_ptr<Stream> dial(Loop& loop, const Address& to, const Bounds& bounds, Owner& owner);
    ~Stream() override;
    // An answer that its peer is still taking.
    bool is_owed() const override { return unsent() > 0; }

    std::size_t held() const;
    std::string_view front() const;        // the first bytes that lie in one piece
    std::string_view pull(std::size_t n);  // the first n, put into one piece
    // Of the first such byte at or after `from`; -1: there is none.
    std::ptrdiff_t find(char c, std::size_t from) const;
    void drain(std::size_t n);

    // Written to the system at the end of the present event, as far as it has room; the rest follows as it
    // gets room, and what is sent within a millisecond of that in the next turn of the loop. Nothing is sent
    // once the stream has been closed; where the bound on what is unsent is passed, it closes.
    void send(std::string_view bytes);
    std::size_t unsent() const;
    bool made() const { return made_; }
    // Whether the peer has closed or reset, asked of the system: its end may lie behind bytes, or behind
    // other events, that the loop has not come to yet.
    bool peer_has_ended() const;
    // Whether nothing has come that has not been taken, asked of the system as well: neither bytes nor an
    // end.
    bool is_quiet() const;
    // How long ago the system received the newest bytes of the peer, which the loop may come to much later;
    // nothing where it does not tell.
    Span since_received() const;
    void pause_reading(bool pause);
    // Sends an end after what is queued; reading goes on.
    void end_sending();

    // Stops all calls to the owner, writes out what is queued if `flush` and the peer takes it within a
    // second, and closes.
    static void hand_off(Loop& loop, std::unique_ptr<Stream> stream, bool flush);
    // The same, but a half-close: the peer is given a second to see the end before the connection closes, and
    // more while it still takes what is queued. What it sends meanwhile is read and dropped, as a close on
    // unread bytes would be a reset that can eat the last answer.
    static void hand_off_politely(Loop& loop, std::unique_ptr<Stream> stream);
    // Resets the connection (no orderly end): what a peer sees when a process dies.
    static void reset(Loop& loop, std::unique_ptr<Stream> stream);

  private:
    Stream(Loop& loop, const Bounds& bounds, Owner& owner);
    enum class Pending { nothing, bytes, end };
    Pending pending_in_system() const;
    static void readable(bufferevent*, void* self);
    static void drained(bufferevent*, void* self);
    static void happened(bufferevent*, short what, void* self);
    void close(Closing why, std::string what);
    void read_more();
    bool waits_for_room() const;
    void write_soon();
    void take_back_write();
    void event_over() override;
    void all_written();
    void go_on_soon(short what);
    // Directions are EV_READ and EV_WRITE; where the system lacks memory or room they are tried again.
    void enable(short directions);
    void enable_soon(short directions);
    void set_callbacks();

    Loop& loop_;
    Bounds bounds_;
    Owner* owner_;
    bufferevent* events_ = nullptr;
    bool made_ = false, closed_ = false, flushing_ = false, polite_ = false, end_wanted_ = false,
         done_ = false;
    bool paused_ = false;
    bool write_is_due_ = false;  // at the end of the present event
    Instant written_at_;         // by such a write
    int error_ = 0;              // that a read or write of its own has met: the system tells it once
    short stopped_ = 0;          // directions that wait for the system to have memory or room again
    int stalled_ = 0;
    std::size_t dropped_ = 0, still_queued_ = 0;
    std::unique_ptr<Timer> last_words_, again_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace copperfront
