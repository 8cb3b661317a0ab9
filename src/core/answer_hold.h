// Whether a long answer that has begun to come is still kept back from its client. Kept, another backend's
// may take its place, or the request may be refused; passed on, only its own end is left.
//
// It is passed on before it is whole where its request's limit is about to come and it comes steadily, or
// where it was kept for as long as is allowed.
//
// How to call it: note() each piece; ask at() after each, and when next_look() has come. It does no I/O and
// reads no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace troutstage::core {

class AnswerHold {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  enum class Verdict { keep, pass_on, give_up };

  // `due`: until when its request may be answered otherwise.
  // `had`: bytes of it that had come when it was first kept.
  AnswerHold(TimePoint begun, TimePoint due, std::size_t had)
      : begun_(begun), due_(due), had_(had), last_piece_(begun), bytes_(had) {}
  void note(TimePoint now, std::size_t bytes);  // each piece that came since
  Verdict at(TimePoint now) const;
  TimePoint next_look(TimePoint now) const;  // when at() may change with no further piece

 private:
  bool is_fast_enough(TimePoint now) const;
  bool goes_on(TimePoint now) const;
  bool keeps_its_pace(TimePoint now) const;
  bool comes_steadily(TimePoint now) const;
  std::size_t bytes_since(TimePoint from) const;

  struct Piece {
    TimePoint at;
    std::size_t bytes = 0;
  };
  const TimePoint begun_, due_;
  const std::size_t had_;
  TimePoint last_piece_;
  TimePoint::duration longest_gap_{0};  // between two pieces
  std::size_t bytes_;                   // all of them
  std::vector<Piece> pieces_;           // in the order of their times
};

}  // namespace troutstage::core
