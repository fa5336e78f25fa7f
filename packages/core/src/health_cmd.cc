#include "tarragondrift/core/health_cmd.h"

#include <algorithm>
#include <cmath>

namespace tarragondrift {
namespace {

/// Weight of the newest observation in the averages.
constexpr double kNewest = 0.1;
/// Least and most slowness that one observation counts as.
constexpr double kLeastRatio = 0.2;
constexpr double kMostRatio = 20;
/// A failure of a team that fails always still counts this much.
constexpr double kLeastBlame = 0.02;
/// Time in which what is known of slowness fades to a third.
constexpr std::chrono::microseconds kFadeTime{20'000'000};

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
                                  kLeastRatio, kMostRatio);
  health.slowness *= std::exp(kNewest * std::log(ratio / health.slowness));
}

bool LearnFailure(instance_health& health, job_id job, const failure_rate& team,
                  const health_options& options) {
  const bool probing = health.stage == health_stage::kProbing;
  if (job.Valid() && health.last_failed_job == job && !probing) {
    return false;
  }
  health.last_failed_job = job;
  const double blame = std::max(kLeastBlame, 1 - team.rate);
  health.failures += blame * blame;
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

void DecaySlowness(instance_health& health, std::chrono::microseconds passed) {
  const double part = std::min(1.0, static_cast<double>(passed.count()) /
                                        static_cast<double>(kFadeTime.count()));
  health.slowness *= std::exp(-part * std::log(health.slowness));
}

void CountOutcome(failure_rate& team, bool failed) {
  team.rate += kNewest * ((failed ? 1.0 : 0.0) - team.rate);
}

}  // namespace tarragondrift
