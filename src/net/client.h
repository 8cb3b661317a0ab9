// One client's connection: its requests, one after another, and their answers.
#pragma once

#include <optional>

#include "net/closing.h"
#include "net/exchange.h"
#include "net/http.h"
#include "net/node.h"

namespace troutstage::net {

class ClientConnection {
 public:
  ClientConnection(Node& node, Fd fd, bool has_place, const core::ArrivalEstimate& arrival);
  ~ClientConnection();
  int fd() const { return fd_.get(); }
  core::ArrivalEstimate& arrival() { return arrival_; }  // of its next request; for whoever waits for that
  // Serves the request that has come, and what follows on it at once; what the connection waits for then.
  // Nothing: it is over.
  std::optional<IdleConnections::WaitsFor> serve();
  void reject_unread();   // the same where no thread is to be had: it blocks on nothing
  bool discard_unread();  // some of what came after the last answer; false: it is over
  void set_close_reason(CloseReason why) { close_reason_ = why; }  // should it end now

 private:
  struct InvocationContext;  // what the hand-offs of one invocation share

  std::optional<IdleConnections::WaitsFor> serve_one();
  std::optional<IdleConnections::WaitsFor> refuse(const BadRequest& bad);
  static BadRequest attribute_cut(const Node::ActiveRead& reading, const BadRequest& bad);
  bool is_node_path(const Request& request);
  bool wanted(InvocationContext& work, BadRequest& bad);
  bool answer(const std::shared_ptr<InvocationContext>& work, TenthsOfMs arrived);
  bool forward_answer(const InvocationContext& work, Exchange& exchange, bool keep);
  ReadResult next_answer_piece(const InvocationContext& work, Exchange& exchange, std::string& piece);
  void note_rest_unsent(const Body& remaining_body);
  ReadResult next_body_piece(InvocationContext& work, std::string& piece);
  void set_reset_on_close(bool resets);
  struct LastByte {
    TimePoint came;
    bool by_system = false;  // what that is taken from; else from the looks at the connection
    std::optional<std::chrono::milliseconds> reported_ago;  // what the system said, whether or not it is used
  };
  LastByte last_byte() const;
  void note_times(InvocationContext& work);
  void note_contradiction(const InvocationContext& work);
  void note_disconnect(const InvocationContext& work) const;
  void note_late_reading(const InvocationContext& work);
  static void note_cut_answer(const InvocationContext& work, std::string_view why, TimePoint begun, TimePoint last_piece, std::size_t bytes);
  static void trace_flow(const InvocationContext& work, std::string_view stage, std::string_view how, std::size_t bytes);
  bool invoke(const std::shared_ptr<InvocationContext>& work, TenthsOfMs arrived);
  bool end(const InvocationContext& work, const core::Instruction& step, bool keep);
  void trace_answer(const InvocationContext& work, std::string_view how, TenthsOfMs arrived) const;
  static void cancel(const InvocationContext& work, int number);
  static void finish_hand_off(Node& node, const InvocationContext& work, int number, ExchangeResult ended);
  static void trace_hand_off(const InvocationContext& work, int number, const Target& target, TimePoint begun, const Exchange& exchange, ExchangeResult ended);
  static bool is_still_wanted(Node& node, const InvocationContext& work);
  static std::function<void()> prepare_hand_off(Node& node, const std::shared_ptr<InvocationContext>& work, const core::Instruction& step);
  void hand_off(const std::shared_ptr<InvocationContext>& work, const core::Instruction& step);
  bool write(std::string head, std::string_view body);
  void note_empty_after_write(TimePoint write_begun);
  bool reply(int status, std::string_view text, bool keep_alive, std::string_view headers = "");

  Node& node_;
  const std::uint64_t id_;  // of the connection, in the log
  Fd fd_;
  core::ArrivalEstimate arrival_;
  Reader reader_;
  const TimePoint connected_ = TimePoint::clock::now();
  bool is_first_request_ = true;         // no request has been read yet
  std::size_t answered_count_ = 0;  // requests
  bool was_rejected_ = false;     // its last request was
  bool may_keep_alive_ = true;         // false: this request is the last one
  bool can_detect_disconnect_ = true;  // an end of its sending is the client's own
  bool is_reset_on_close_ = false;       // its last answer broke where only a reset shows it
  CloseReason close_reason_ = CloseReason::by_client;
  const bool is_within_budget_;      // else its one request is turned away
  std::size_t discarded_bytes_ = 0;
};

}  // namespace troutstage::net
