// Bounds the time at which a client wrote the last byte of a request body that this node is still reading.
//
// The time limit of a request counts from that moment, and it can lie long before the byte arrives: while the
// node reads slowly, the rest of the body waits in the send buffer of the client's machine, which the node
// can't see. What the node can observe is how many bytes have arrived, and whether the client's machine could
// send more. A look at the socket shows that the last byte was unwritten if
//  - more bytes are missing than the largest send buffer holds, or
//  - bytes are missing although the client's machine may send, so that its send buffer is empty.
// If the length of the body is not known, bytes that arrive later show how far the client was at an earlier
// look.
//
// Usage: call add() for each look, in the order of time. The class does no I/O, reads no clock and is not
// thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace troutstage::core {

// Observes one body.
class UploadEstimate {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  // A look at the client's socket. Bytes are counted from the start of the connection.
  struct Look {
    // The look began at this time.
    TimePoint at;
    // Bytes that have arrived, read or unread.
    std::uint64_t arrived_bytes = 0;
    // The client's machine may send more, and has nothing more to send.
    bool is_sender_idle = false;
  };

  // `started_at`: the last byte was unwritten then. `end`: the count of arrived bytes at which the body is
  // whole; empty: not known. `max_send_buffer_bytes`: the most that the client's machine may hold.
  UploadEstimate(TimePoint started_at, std::optional<std::uint64_t> end, std::uint64_t max_send_buffer_bytes)
      : unwritten_until_(started_at), end_(end), max_send_buffer_bytes_(max_send_buffer_bytes) {}
  // Adds a look that was made before the whole body was read.
  void add(const Look& look);
  // The last byte was still unwritten at this time.
  TimePoint unwritten_until() const { return unwritten_until_; }

 private:
  bool was_unwritten_at(const Look& look) const;
  void add_sample(const Look& look);

  TimePoint unwritten_until_;
  const std::optional<std::uint64_t> end_;
  const std::uint64_t max_send_buffer_bytes_;
  // If the end is not known: looks that do not show yet whether the last byte was unwritten, oldest first.
  std::deque<Look> samples_;
};

}  // namespace troutstage::core
