#include "tarragondrift/core/health_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift {
namespace {

/// Weight of the newest observation in the moving averages.
constexpr double kSmoothingFactor = 0.1;
/// Bounds of one observed ratio, so that an outlier has limited weight.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 20;
/// Lower bound of the success rate by which a team's failures are weighted, so
/// that they count even when all of its tasks fail.
constexpr double kMinSuccessRate = 0.02;
/// Time constant of the exponential decay of the logarithm of slowness.
constexpr std::chrono::microseconds kSlownessDecayTime{20'000'000};

}  // namespace

uint32_t HealthyLimit(const instance_health& health, uint32_t share) {
  switch (health.stage) {
    case health_stage::kHealthy:
      return share;
    case health_stage::kSuspect:
    case health_stage::kProbing:
      return std::min<uint32_t>(share, 1);
    case health_stage::kEjected:
      return 0;
  }
  return 0;
}

void LearnSuccess(instance_health& health, std::chrono::microseconds estimated,
                  std::chrono::microseconds observed) {
  health.stage = health_stage::kHealthy;
  health.failures = 0;
  health.last_failed_job = job_id{};
  health.backoff = std::chrono::milliseconds{0};
  if (estimated.count() <= 0) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(observed.count()) /
                                      static_cast<double>(estimated.count()),
                                  kMinRatio, kMaxRatio);
  health.slowness *=
      std::exp(kSmoothingFactor * std::log(ratio / health.slowness));
}

bool LearnFailure(instance_health& health, job_id job, const failure_rate& team,
                  const health_options& options) {
  const bool probing = health.stage == health_stage::kProbing;
  if (job.Valid() && health.last_failed_job == job && !probing) {
    return false;
  }
  health.last_failed_job = job;
  const double success_rate = std::max(kMinSuccessRate, 1 - team.rate);
  health.failures += success_rate * success_rate;
  if (health.stage == health_stage::kHealthy && health.failures >= 0.5) {
    health.stage = health_stage::kSuspect;
  }
  return probing || health.failures >= options.eject_after;
}

void Eject(instance_health& health, const health_options& options,
           instant now) {
  health.stage = health_stage::kEjected;
  health.backoff = health.backoff.count() == 0
                       ? options.initial_backoff
                       : std::min(2 * health.backoff, options.max_backoff);
  health.probe_at = now + health.backoff;
  health.throttled = false;
}

void Throttle(instance_health& health, const health_options& options,
              instant now) {
  health.stage = health_stage::kEjected;
  health.probe_at = now + options.throttle_interval;
  health.throttled = true;
}

bool BeginProbe(instance_health& health, instant now) {
  if (health.stage != health_stage::kEjected || now < health.probe_at) {
    return false;
  }
  health.stage = health_stage::kProbing;
  return true;
}

void DecaySlowness(instance_health& health, std::chrono::microseconds elapsed) {
  const double fraction =
      std::min(1.0, static_cast<double>(elapsed.count()) /
                        static_cast<double>(kSlownessDecayTime.count()));
  health.slowness *= std::exp(-fraction * std::log(health.slowness));
}

void CountOutcome(failure_rate& team, bool failed) {
  team.rate += kSmoothingFactor * ((failed ? 1.0 : 0.0) - team.rate);
}

}  // namespace tarragondrift
