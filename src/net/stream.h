// A byte stream over a connection, the base of both the line protocol and HTTP. It bounds its memory: neither
// a peer that never reads nor one that sends more than is consumed can exceed the configured limits.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "core/memory_budget.h"
#include "net/address.h"
#include "net/loop.h"

struct bufferevent;

namespace copperfront {

enum class CloseReason {
    peer_closed,     // the peer closed in order
    broken,          // reset, or another socket error
    connect_failed,  // the connection was never established; nothing was sent
    line_too_long,   // the peer's line exceeded the limit
    peer_too_slow    // unsent bytes exceeded the limit
};
const char* text_of(CloseReason why);

class Stream : public DeferredDelete, private Loop::AfterEvent {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // Only after dial().
        virtual void stream_connected(Stream&) {}
        // More bytes are buffered. The owner consumes what it can with front() and drain(), or contiguous(),
        // and may schedule the deletion of the stream within the call.
        virtual void bytes_received(Stream&) = 0;
        // All queued bytes have been written.
        virtual void all_sent(Stream&) {}
        // Called once, as the last call, and never from within send(). `what` is the reason in plain words.
        virtual void stream_closed(Stream&, CloseReason why, const std::string& what) = 0;
        // Most bytes that may be buffered by one read. The system's smallest read may exceed it.
        virtual std::size_t read_limit(const Stream&) const { return kMaxReadAtOnceBytes; }
    };
    static constexpr std::size_t kMaxReadAtOnceBytes = 64 << 10;

    // `unsent_bytes`: most bytes queued for a peer that does not read; `buffered_bytes`: reading stops while
    // this many bytes are buffered. 0: unlimited.
    struct Bounds {
        std::size_t unsent_bytes = 4 << 20, buffered_bytes = 0;
    };

    static std::unique_ptr<Stream> accepted(Loop& loop, int fd, const Bounds& bounds, Owner& owner);
    // Either stream_connected() or stream_closed(connect_failed) follows, never from within this call.
    static std::unique_ptr<Stream> dial(Loop& loop, const Address& to, const Bounds& bounds, Owner& owner);
    ~Stream() override;
    // The peer is still receiving a response.
    bool has_unsent_data() const override { return unsent() > 0; }

    // Charges the buffered input, or the queued output, for as long as the stream exists.
    void charge_input(MemoryBudget& budget, MemoryUse use) { input_charge_ = MemoryCharge(budget, use); }
    void charge_output(MemoryBudget& budget, MemoryUse use) { output_charge_ = MemoryCharge(budget, use); }

    std::size_t buffered() const;
    std::string_view front() const;              // the first contiguous bytes
    std::string_view contiguous(std::size_t n);  // the first n bytes, made contiguous
    // Returns the position of the first such byte at or after `from`, or -1.
    std::ptrdiff_t find(char c, std::size_t from) const;
    void drain(std::size_t n);

    // Queues bytes. They are written to the socket at the end of the current event, as far as it has room;
    // the rest follows when it has. Bytes sent within a millisecond of that write are written in the next
    // turn of the loop. Does nothing once the stream is closed; closes the stream if the limit on unsent
    // bytes is exceeded.
    void send(std::string_view bytes);
    // The same without a copy: the text is kept until it has been written.
    void send(const std::shared_ptr<const std::string>& text);
    std::size_t unsent() const;
    bool is_connected() const { return connected_; }
    // Asks the system whether the peer has closed or reset the connection: the close may be queued behind
    // bytes or events that the loop has not processed yet.
    bool peer_has_closed() const;
    // Returns whether there is no unconsumed input, neither bytes nor a close, in the buffer or in the
    // socket.
    bool has_no_pending_input() const;
    // Time since the system received the peer's newest bytes, which the loop may process much later; zero if
    // the system does not report it.
    Duration since_received() const;
    void pause_reading(bool pause);
    // Shuts down the sending side after the queued bytes; reading continues.
    void half_close();

    // Stops all calls to the owner, writes queued bytes if `flush` is set and the peer takes them within a
    // second, and closes.
    static void detach_and_close(Loop& loop, std::unique_ptr<Stream> stream, bool flush);
    // The same with a half-close: the peer has a second to see the end before the connection closes, and
    // longer while it still takes queued bytes. Its input meanwhile is read and discarded, as closing with
    // unread bytes would send a reset, which can destroy the last response.
    static void detach_and_half_close(Loop& loop, std::unique_ptr<Stream> stream);
    // Resets the connection instead of closing it in order, as a peer sees it when a process dies.
    static void reset(Loop& loop, std::unique_ptr<Stream> stream);

  private:
    Stream(Loop& loop, const Bounds& bounds, Owner& owner);
    enum class Pending { nothing, bytes, end };
    Pending pending_in_socket() const;
    static void on_readable(bufferevent*, void* self);
    static void on_output_drained(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);
    void close(CloseReason why, std::string what);
    bool may_send() const { return !closed_ && !flushing_ && owner_ != nullptr; }
    void output_queued();
    void update_charges();
    void read_ahead();
    bool waits_for_writable() const;
    void schedule_write();
    void cancel_scheduled_write();
    void on_event_end() override;
    void on_all_written();
    void resume_later(short what);
    // Directions are EV_READ and EV_WRITE. Retries if the system lacks memory or resources.
    void enable(short directions);
    void enable_later(short directions);
    void set_callbacks();

    Loop& loop_;
    Bounds bounds_;
    Owner* owner_;
    bufferevent* buffer_event_ = nullptr;
    bool connected_ = false, closed_ = false, flushing_ = false, half_closing_ = false,
         half_close_requested_ = false, peer_done_ = false;
    bool paused_ = false;
    bool write_scheduled_ = false;  // at the end of the current event
    Instant last_write_at_;         // time of the last such write
    int io_error_ = 0;              // from a read or write of this class: the system reports it only once
    short stopped_directions_ = 0;  // directions that wait for the system to have memory or resources again
    int stalled_checks_ = 0;
    std::size_t discarded_bytes_ = 0, last_queued_ = 0;
    MemoryCharge input_charge_, output_charge_;
    std::unique_ptr<Timer> close_timer_, retry_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace copperfront
