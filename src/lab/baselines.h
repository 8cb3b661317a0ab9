// What the membership is measured against: every node beating to every other, and SWIM without suspicion or agreed
// views (Das, Gupta, Motivala 2002). Each node has its own list. For measurements only.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "members/engine.h"

namespace troutstage::lab {

class Baseline {
 public:
  virtual ~Baseline() = default;
  virtual void step(TenthsOfMs now, const members::MemberEvent& event, std::vector<members::Send>& out) = 0;
  const std::vector<char>& listed() const { return listed_; }
  // Whom it took off its list by what it saw itself, since the last call.
  std::vector<Index> removed() { return std::exchange(removed_, {}); }

 protected:
  Baseline(Index self, std::uint32_t nodes, std::uint64_t life) : self_(self), life_(life), listed_(nodes, 1) {}
  members::Send message(Index to, members::Body body) const;
  Index self_;
  std::uint64_t life_;
  std::vector<char> listed_;
  std::vector<Index> removed_;
};

class Heartbeats : public Baseline {
 public:
  Heartbeats(Index self, std::uint32_t nodes, std::uint64_t life, TenthsOfMs now);
  void step(TenthsOfMs now, const members::MemberEvent& event, std::vector<members::Send>& out) override;

 private:
  std::vector<TenthsOfMs> heard_;
  TenthsOfMs next_;
};

class PlainSwim : public Baseline {
 public:
  PlainSwim(Index self, std::uint32_t nodes, std::uint64_t life, std::uint64_t seed, TenthsOfMs now);
  void step(TenthsOfMs now, const members::MemberEvent& event, std::vector<members::Send>& out) override;

 private:
  void spread(const members::News& news);
  std::vector<members::News> news();
  void heard(const std::vector<members::News>& news);
  Index draw();
  std::knuth_b random_;
  std::vector<std::uint64_t> lives_;
  std::vector<std::uint32_t> refuted_;
  std::vector<std::pair<members::News, int>> rumours_;
  std::map<std::uint32_t, std::pair<Index, std::uint32_t>> asked_;  // for whom, under what number there
  TenthsOfMs next_, sent_ = 0;
  Index probing_ = kNone;
  std::uint32_t nonce_ = 0;
  bool indirect_ = false;
};

}  // namespace troutstage::lab
