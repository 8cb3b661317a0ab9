#include "net/streamed_body.h"

#include <algorithm>

namespace troutstage::net {
namespace {

// Time limit for the client to send each piece.
constexpr std::chrono::milliseconds kPieceTimeout{2000};
// The end of an invocation, or a cancellation, waits for so long at the most while a piece is waited for.
constexpr std::chrono::milliseconds kMaxAccessTime{10};

// The count of bytes read from the connection at which the body is whole.
std::optional<std::uint64_t> end_of(const Reader& reader, const Body& remaining_body) {
  if (remaining_body.framing() != Framing::length) return std::nullopt;
  return reader.read_bytes() - reader.buffered_bytes() + remaining_body.left();
}

}  // namespace

StreamedBody::StreamedBody(ConnectionAccess& access, int client_fd, Reader& reader,
                           core::ArrivalEstimate& arrival, Body& remaining_body,
                           std::chrono::milliseconds answer_time, std::uint64_t min_receive_window)
    : access_(access), client_fd_(client_fd), reader_(reader), arrival_(arrival),
      remaining_body_(remaining_body), answer_time_(answer_time),
      upload_(arrival.earliest(), end_of(reader, remaining_body), min_receive_window) {}

ReadResult StreamedBody::next(std::string& piece, const std::function<bool()>& is_cancelled) {
  is_partly_consumed_ = true;
  const TimePoint deadline = TimePoint::clock::now() + kPieceTimeout;
  ReadResult read_result = ReadResult::late;
  while (read_result == ReadResult::late && TimePoint::clock::now() < deadline) {
    if (is_cancelled()) return ReadResult::cut;
    const bool has_access = access_.with_connection([&] {
      look();
      const TimePoint wait_started_at = TimePoint::clock::now();
      read_result =
          remaining_body_.next_buffered(reader_, std::min(deadline, wait_started_at + kMaxAccessTime), piece);
      const TimePoint now = TimePoint::clock::now();
      const bool was_held_up = now - wait_started_at > 2 * kMaxAccessTime;
      last_read_at_ = was_held_up ? wait_started_at : now;
      if (remaining_body_.whole()) set_read_whole();
    });
    if (!has_access) return ReadResult::cut;
  }
  return read_result;
}

void StreamedBody::set_read_whole() {
  const TimePoint unwritten_until = upload_.unwritten_until();
  const bool is_recent = last_read_at_ - unwritten_until <= core::ArrivalEstimate::kMaxCheckGap;
  last_byte_at_ = is_recent ? last_read_at_ : unwritten_until;
  answer_deadline_ = *last_byte_at_ + answer_time_;
}

TimePoint StreamedBody::answer_deadline() {
  if (remaining_body_.whole()) return is_sent() || !access_.has_ended() ? answer_deadline_ : TimePoint::min();
  return access_.with_connection([this] { look(); }) ? answer_deadline_ : TimePoint::min();
}

void StreamedBody::look() {
  const TimePoint now = TimePoint::clock::now();
  if (const auto unread = unread_byte_count(client_fd_)) add_look(now, *unread);
  answer_deadline_ = upload_.unwritten_until() + answer_time_;
}

void StreamedBody::add_look(TimePoint now, std::size_t unread) {
  // If the length of the body is not known, unparsed bytes may hold its end.
  const std::size_t unparsed =
      remaining_body_.framing() == Framing::length ? unread : unread + reader_.buffered_bytes();
  upload_.add({now, reader_.read_bytes() + unread, unparsed == 0, now - last_read_at_});
}

}  // namespace troutstage::net
