#include "net/file_reader.h"

#include <exception>
#include <system_error>
#include <thread>
#include <utility>

#include "config/config.h"

namespace troutstage::net {
namespace {

constexpr int kMaxReadsInProgress = 8;

}  // namespace

void FileReader::start_read(const std::string& path) {
  std::uint64_t number = 0;
  bool may_start = false;
  {
    std::lock_guard lock(state_->lock);
    number = ++state_->last_requested;
    may_start = state_->reads_in_progress < kMaxReadsInProgress;
    ++state_->reads_in_progress;
  }
  if (!may_start) return complete(*state_, number, {path, "", "too many earlier reads have not ended"});
  try {
    std::thread(read, state_, number, FileReadResult{path, "", ""}).detach();
  } catch (const std::system_error& error) {
    complete(*state_, number, {path, "", error.what()});
  }
}

void FileReader::read(const std::shared_ptr<SharedState>& state, std::uint64_t number,
                      FileReadResult result) {
  try {
    result.text = read_file(result.path);
  } catch (const std::exception& error) {
    result.error = error.what();
  }
  complete(*state, number, std::move(result));
}

void FileReader::complete(SharedState& state, std::uint64_t number, FileReadResult result) {
  std::lock_guard lock(state.lock);
  --state.reads_in_progress;
  if (number < state.last_finished) return;  // a newer read ended first, and its result stays
  state.last_finished = number;
  state.result = std::move(result);
  state.changed.notify_all();
}

std::optional<FileReadResult> FileReader::wait_for_result() {
  std::unique_lock lock(state_->lock);
  state_->changed.wait(lock,
                       [this] { return state_->stopped || state_->last_finished > state_->last_returned; });
  if (state_->stopped) return std::nullopt;
  state_->last_returned = state_->last_finished;
  return state_->result;
}

void FileReader::stop() {
  std::lock_guard lock(state_->lock);
  state_->stopped = true;
  state_->changed.notify_all();
}

}  // namespace troutstage::net
