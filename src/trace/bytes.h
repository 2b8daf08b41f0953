// Writes and reads little-endian integers and varints (LEB128) in byte strings. A ByteReader that runs out of
// bytes records the failure and returns zeros from then on. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace copperfront::trace {

inline std::uint64_t zigzag(std::int64_t v) {
    return (static_cast<std::uint64_t>(v) << 1) ^ static_cast<std::uint64_t>(v >> 63);
}
inline std::int64_t unzigzag(std::uint64_t v) { return static_cast<std::int64_t>((v >> 1) ^ (~(v & 1) + 1)); }

class ByteWriter {
  public:
    explicit ByteWriter(std::string& out) : out_(out) {}
    template <class T>
    void fixed(T value) {
        for (std::size_t n = 0; n < sizeof value; ++n)
            out_.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * n)));
    }
    void varint(std::uint64_t v) {
        while (v >= 0x80) {
            out_.push_back(static_cast<char>(v | 0x80));
            v >>= 7;
        }
        out_.push_back(static_cast<char>(v));
    }
    void number(std::int64_t v) { varint(zigzag(v)); }
    void text(std::string_view t) {
        varint(t.size());
        out_.append(t);
    }

  private:
    std::string& out_;
};

class ByteReader {
  public:
    explicit ByteReader(std::string_view bytes) : at_(bytes.data()), end_(bytes.data() + bytes.size()) {}
    bool ok() const { return ok_; }
    bool done() const { return at_ == end_; }
    std::size_t remaining() const { return static_cast<std::size_t>(end_ - at_); }
    template <class T>
    T fixed() {
        if (remaining() < sizeof(T)) return fail<T>();
        std::uint64_t v = 0;
        for (std::size_t n = 0; n < sizeof(T); ++n)
            v |= static_cast<std::uint64_t>(static_cast<unsigned char>(*at_++)) << (8 * n);
        return static_cast<T>(v);
    }
    std::uint64_t varint() {
        std::uint64_t v = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (at_ == end_) return fail<std::uint64_t>();
            const auto byte = static_cast<unsigned char>(*at_++);
            v |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) return v;
        }
        return fail<std::uint64_t>();
    }
    std::int64_t number() { return unzigzag(varint()); }
    std::string_view take(std::uint64_t n) {
        if (n > remaining()) {
            fail<int>();
            return {};
        }
        const std::string_view out(at_, static_cast<std::size_t>(n));
        at_ += n;
        return out;
    }
    std::string_view text() { return take(varint()); }

  private:
    template <class T>
    T fail() {
        ok_ = false;
        at_ = end_;
        return T{};
    }
    const char* at_;
    const char* end_;
    bool ok_ = true;
};

}  // namespace copperfront::trace
