#include "net/streamed_body.h"

namespace troutstage::net {
namespace {

// Time limit for the client to send each piece.
constexpr std::chrono::milliseconds kPieceTimeout{2000};

// The count of bytes read from the connection at which the body is whole.
std::optional<std::uint64_t> end_of(const Reader& reader, const Body& remaining_body) {
  if (remaining_body.framing() != Framing::length) return std::nullopt;
  return reader.read_bytes() - reader.buffered_bytes() + remaining_body.left();
}

}  // namespace

StreamedBody::StreamedBody(int client_fd, Reader& reader, core::ArrivalEstimate& arrival,
                           Body& remaining_body, std::chrono::milliseconds answer_time)
    : client_fd_(client_fd), reader_(reader), arrival_(arrival), remaining_body_(remaining_body),
      answer_time_(answer_time), upload_(arrival.earliest(), end_of(reader, remaining_body)) {}

ReadResult StreamedBody::next(std::string& piece) {
  is_partly_consumed_ = true;
  look();
  return remaining_body_.next(reader_, TimePoint::clock::now() + kPieceTimeout, piece);
}

TimePoint StreamedBody::answer_deadline() {
  look();
  return (remaining_body_.whole() ? arrival_.arrival() : arrival_.earliest()) + answer_time_;
}

// Only an empty socket shows that the client's machine has nothing more to send: with unread bytes it may be
// waiting for a larger receive window. While the node waits for bytes, its checks that find none show the
// same; those are in arrival_ already.
void StreamedBody::look() {
  if (remaining_body_.whole()) return;
  const TimePoint now = TimePoint::clock::now();
  const auto unread = unread_byte_count(client_fd_);
  if (!unread) return;
  // If the length of the body is not known, unparsed bytes may hold its end.
  const std::size_t unparsed =
      remaining_body_.framing() == Framing::length ? *unread : *unread + reader_.buffered_bytes();
  upload_.add({now, reader_.read_bytes() + *unread, unparsed == 0});
  if (upload_.unwritten_until() > arrival_.earliest()) arrival_.no_bytes_until(upload_.unwritten_until());
}

}  // namespace troutstage::net
