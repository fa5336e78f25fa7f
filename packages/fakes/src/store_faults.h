// Faults of one service of the stand-in platform, switched at run time.
#ifndef TARRAGONDRIFT_FAKES_STORE_FAULTS_H_
#define TARRAGONDRIFT_FAKES_STORE_FAULTS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>

namespace tarragondrift {

/// How a service misbehaves.
enum class fault_mode : uint8_t {
  kNone,
  /// Connections are refused.
  kDown,
  /// Answers are delayed.
  kSlow,
  /// Writes take effect and their answers are lost.
  kReplyLost,
  /// Nothing takes effect and no answer comes.
  kBlackHole,
  /// Answers are server errors and nothing takes effect.
  kServerError,
};

/// Allows so many calls a second, with a burst of a tenth of a second's worth.
class rate_limit {
 public:
  using clock = std::chrono::steady_clock;

  /// Sets the limit; 0 is none.
  void Set(uint32_t calls_per_s);

  /// @return whether one more call is allowed now.
  bool Allow(clock::time_point now);

 private:
  std::mutex mutex_;
  double rate_ = 0;
  double allowance_ = 0;
  clock::time_point last_;
};

/// The state of one service's faults.
struct store_faults {
  std::atomic<fault_mode> mode = fault_mode::kNone;
  std::atomic<std::chrono::milliseconds> delay{std::chrono::milliseconds(0)};
  rate_limit reads;
  rate_limit writes;
  std::atomic<uint64_t> read_calls = 0;
  std::atomic<uint64_t> write_calls = 0;
  std::atomic<uint64_t> throttled = 0;
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_STORE_FAULTS_H_
