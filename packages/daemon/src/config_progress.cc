#include "config_progress.h"

#include <algorithm>
#include <sstream>

#include "logging.h"

namespace tarragondrift {
namespace {

using std::chrono::duration;
using std::chrono::floor;
using std::chrono::milliseconds;

constexpr std::array<config_source, kConfigSources> kAllSources{
    config_source::kStore, config_source::kPeer};

void AppendMark(std::ostringstream& page, const std::string& stage,
                const std::string& label, const version_mark& mark,
                instant now) {
  page << "tarragondrift_config_" << stage << "_version" << label << ' '
       << mark.version << '\n';
  if (mark.version != 0) {
    page << "tarragondrift_config_" << stage << "_age_seconds" << label << ' '
         << duration<double>(now - mark.at).count() << '\n';
  }
}

}  // namespace

const char* DescribeSource(config_source source) {
  return source == config_source::kStore ? "store" : "peer";
}

void config_progress::Heard(config_source source, uint64_t version,
                            instant now) {
  {
    const std::scoped_lock lock(mutex_);
    version_mark& mark = heard_.at(static_cast<size_t>(source));
    if (version <= mark.version) {
      return;
    }
    mark = {.version = version, .at = now};
  }
  log_event(log_level::kInfo, "config_heard")
      .With("version", static_cast<int64_t>(version))
      .With("source", DescribeSource(source));
}

void config_progress::Applied(config_source source, uint64_t version,
                              instant heard, instant now) {
  {
    const std::scoped_lock lock(mutex_);
    applied_.at(static_cast<size_t>(source)) = {.version = version, .at = now};
    last_wait_ = now - heard;
    longest_wait_ = std::max(longest_wait_, last_wait_);
  }
  log_event(log_level::kInfo, "config_in_force")
      .With("version", static_cast<int64_t>(version))
      .With("source", DescribeSource(source))
      .With("wait_ms", floor<milliseconds>(now - heard).count());
}

void config_progress::Used(uint64_t version, instant now) {
  if (version <= used_version_.load(std::memory_order_relaxed)) {
    return;
  }
  {
    const std::scoped_lock lock(mutex_);
    if (version <= used_.version) {
      return;
    }
    used_ = {.version = version, .at = now};
    used_version_.store(version, std::memory_order_relaxed);
  }
  log_event(log_level::kInfo, "config_used")
      .With("version", static_cast<int64_t>(version));
}

std::string config_progress::Render(instant now) const {
  const std::scoped_lock lock(mutex_);
  std::ostringstream page;
  for (const config_source source : kAllSources) {
    const std::string label =
        std::string("{source=\"") + DescribeSource(source) + "\"}";
    const auto at = static_cast<size_t>(source);
    AppendMark(page, "heard", label, heard_.at(at), now);
    AppendMark(page, "applied", label, applied_.at(at), now);
  }
  AppendMark(page, "used", "", used_, now);
  page << "tarragondrift_config_wait_seconds "
       << duration<double>(last_wait_).count() << '\n'
       << "tarragondrift_config_longest_wait_seconds "
       << duration<double>(longest_wait_).count() << '\n';
  return page.str();
}

}  // namespace tarragondrift
