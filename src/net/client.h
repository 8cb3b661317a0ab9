// One client's connection: its requests, one after another, and their answers.
#pragma once

#include <optional>

#include "net/closing.h"
#include "net/exchange.h"
#include "net/http.h"
#include "net/node.h"

namespace troutstage::net {

class Client {
 public:
  Client(Node& node, Fd fd, bool has_place, const core::ArrivalEstimate& arrival);
  ~Client();
  int fd() const { return fd_.get(); }
  core::ArrivalEstimate& arrival() { return arrival_; }  // of its next request; for whoever waits for that
  // Serves the request that has come, and what follows on it at once; what the connection waits for then.
  // Nothing: it is over.
  std::optional<Lobby::Wait> serve();
  void turn_away();   // the same where no thread is to be had: it blocks on nothing
  bool throw_away();  // some of what came after the last answer; false: it is over
  void closes_for(Closing why) { closing_ = why; }  // should it end now

 private:
  struct Work;  // what the hand-offs of one invocation share

  std::optional<Lobby::Wait> serve_one();
  std::optional<Lobby::Wait> refuse(const BadRequest& bad);
  static BadRequest ended_here(const Node::Reading& reading, const BadRequest& bad);
  bool own(const Request& request);
  bool wanted(Work& work, BadRequest& bad);
  bool answer(const std::shared_ptr<Work>& work, Tenths arrived);
  bool pass_on(const Work& work, Exchange& exchange, bool keep);
  Got next_piece(const Work& work, Exchange& exchange, std::string& piece);
  void note_rest_unsent(const Body& rest);
  Got take_piece(Work& work, std::string& piece);
  void reset_at_close(bool resets);
  struct LastByte {
    Moment came;
    bool by_system = false;  // what that is taken from; else from the looks at the connection
    std::optional<std::chrono::milliseconds> told_ago;  // what the system said, whether or not it is used
  };
  LastByte last_byte() const;
  void note_times(Work& work);
  void note_contradiction(const Work& work);
  void note_leaving(const Work& work) const;
  void note_late_reading(const Work& work);
  static void note_cut_answer(const Work& work, std::string_view why, Moment begun, Moment last_piece, std::size_t bytes);
  static void trace_flow(const Work& work, std::string_view stage, std::string_view how, std::size_t bytes);
  bool invoke(const std::shared_ptr<Work>& work, Tenths arrived);
  bool end(const Work& work, const core::Step& step, bool keep);
  void trace_answer(const Work& work, std::string_view how, Tenths arrived) const;
  static void recall(const Work& work, int number);
  static void over(Node& node, const Work& work, int number, Ended ended);
  static void trace(const Work& work, int number, const Target& target, Moment begun, const Exchange& exchange, Ended ended);
  static bool is_still_wanted(Node& node, const Work& work);
  static std::function<void()> prepare(Node& node, const std::shared_ptr<Work>& work, const core::Step& step);
  void hand_off(const std::shared_ptr<Work>& work, const core::Step& step);
  bool write(std::string head, std::string_view body);
  void note_rest_after(Moment write_begun);
  bool reply(int status, std::string_view text, bool keep_alive, std::string_view headers = "");

  Node& node_;
  const std::uint64_t id_;  // of the connection, in the log
  Fd fd_;
  core::ArrivalEstimate arrival_;
  Reader in_;
  const Moment connected_ = Moment::clock::now();
  bool first_ = true;         // no request has been read yet
  std::size_t answered_ = 0;  // requests
  bool rejected_ = false;     // its last request was
  bool lasts_ = true;         // false: this request is the last one
  bool may_tell_leaving_ = true;  // an end of its sending is the client's own
  bool resets_ = false;       // its last answer broke where only a reset shows it
  Closing closing_ = Closing::by_client;
  const bool has_place_;      // else its one request is turned away
  std::size_t thrown_away_ = 0;
};

}  // namespace troutstage::net
