#include "net/file_reader.h"

#include <exception>
#include <system_error>
#include <thread>
#include <utility>

#include "config/config.h"

namespace troutstage::net {
namespace {

constexpr int kMostUnderWay = 8;

}  // namespace

void FileReader::request(const std::string& path) {
  std::uint64_t number = 0;
  bool may_begin = false;
  {
    std::lock_guard held(state_->lock);
    number = ++state_->requested;
    may_begin = state_->under_way < kMostUnderWay;
    ++state_->under_way;
  }
  if (!may_begin) return end(*state_, number, {path, "", "earlier reads of it have not ended"});
  try {
    std::thread(read, state_, number, FileRead{path, "", ""}).detach();
  } catch (const std::system_error& failed) {
    end(*state_, number, {path, "", failed.what()});
  }
}

void FileReader::read(const std::shared_ptr<State>& state, std::uint64_t number, FileRead outcome) {
  try {
    outcome.text = read_file(outcome.path);
  } catch (const std::exception& failed) {
    outcome.error = failed.what();
  }
  end(*state, number, std::move(outcome));
}

void FileReader::end(State& state, std::uint64_t number, FileRead outcome) {
  std::lock_guard held(state.lock);
  --state.under_way;
  if (number < state.newest) return;  // a later one was quicker, and holds
  state.newest = number;
  state.outcome = std::move(outcome);
  state.changed.notify_all();
}

std::optional<FileRead> FileReader::next() {
  std::unique_lock held(state_->lock);
  state_->changed.wait(held, [this] { return state_->stopped || state_->newest > state_->given; });
  if (state_->stopped) return std::nullopt;
  state_->given = state_->newest;
  return state_->outcome;
}

void FileReader::stop() {
  std::lock_guard held(state_->lock);
  state_->stopped = true;
  state_->changed.notify_all();
}

}  // namespace troutstage::net
