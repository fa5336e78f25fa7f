#include "tarragondrift/gate/job_content.h"

#include <gnutls/crypto.h>

#include <array>
#include <cstring>
#include <string_view>
#include <utility>

namespace tarragondrift {
namespace {

constexpr size_t kSha256Bytes = 32;

/// SHA-256 over fields; strings are length-prefixed, so that different field
/// sequences never give the same input.
class field_hash {
 public:
  field_hash() { gnutls_hash_init(&state_, GNUTLS_DIG_SHA256); }
  field_hash(const field_hash&) = delete;
  field_hash& operator=(const field_hash&) = delete;
  ~field_hash() { gnutls_hash_deinit(state_, nullptr); }

  void Add(int64_t value) { gnutls_hash(state_, &value, sizeof(value)); }

  /// Adds a string, prefixed by its length.
  void Add(std::string_view text) {
    Add(static_cast<int64_t>(text.size()));
    gnutls_hash(state_, text.data(), text.size());
  }

  /// Returns the first 128 bits of the digest.
  content_digest Digest() {
    std::array<unsigned char, kSha256Bytes> bytes{};
    gnutls_hash_output(state_, bytes.data());
    content_digest digest;
    std::memcpy(&digest.high, bytes.data(), sizeof(digest.high));
    std::memcpy(&digest.low, bytes.data() + sizeof(digest.high),
                sizeof(digest.low));
    return digest;
  }

 private:
  gnutls_hash_hd_t state_ = nullptr;
};

/// Returns the error for a name that the configuration does not list.
request_error UnknownNameError(result_code code, const char* kind,
                               const std::string& name) {
  return {code, std::string(kind) + " '" + name + "' is not in force"};
}

/// Resolves the upstream of each task.
checked<std::vector<upstream_id>> FindUpstreams(const job_content& content,
                                                const config_document& config) {
  std::vector<upstream_id> found;
  found.reserve(content.tasks.size());
  for (const task_content& task : content.tasks) {
    found.push_back(FindUpstream(config, task.upstream));
    if (!found.back().Valid()) {
      return UnknownNameError(result_code::kUnknownUpstream, "upstream",
                              task.upstream);
    }
  }
  return found;
}

/// Moves the tasks into the resolved request.
std::vector<task_request> MoveTasks(std::vector<task_content> tasks,
                                    const std::vector<upstream_id>& upstreams) {
  std::vector<task_request> moved;
  moved.reserve(tasks.size());
  for (size_t number = 0; number < tasks.size(); ++number) {
    moved.push_back({.name = std::move(tasks[number].name),
                     .upstream = upstreams[number],
                     .declared = tasks[number].declared,
                     .payload = std::move(tasks[number].payload)});
  }
  return moved;
}

}  // namespace

content_digest DigestContent(const job_content& content) {
  field_hash hash;
  hash.Add(content.contract);
  hash.Add(content.team);
  hash.Add(content.deadline.count());
  for (const task_content& task : content.tasks) {
    hash.Add(task.name);
    hash.Add(task.upstream);
    hash.Add(task.declared.count());
    hash.Add(task.payload);
  }
  return hash.Digest();
}

checked<job_request> ResolveJob(job_content&& content,
                                const config_document& config) {
  job_request request{.id = content.id,
                      .idempotency_key = content.idempotency_key,
                      .digest = content.digest,
                      .contract = FindContract(config, content.contract),
                      .team = FindTeam(config, content.team),
                      .deadline = content.deadline};
  if (!request.contract.Valid()) {
    return UnknownNameError(result_code::kUnknownContract, "contract",
                            content.contract);
  }
  if (!request.team.Valid()) {
    return UnknownNameError(result_code::kUnknownTeam, "team", content.team);
  }
  if (content.tasks.size() > config.max_tasks_per_job) {
    return request_error{
        result_code::kTooManyTasks,
        "the limit is " + std::to_string(config.max_tasks_per_job)};
  }
  if (request.deadline.count() == 0) {
    request.deadline =
        config.contracts[request.contract.index].default_deadline;
  }
  const checked<std::vector<upstream_id>> upstreams =
      FindUpstreams(content, config);
  if (!upstreams) {
    return upstreams.error();
  }
  request.tasks = MoveTasks(std::move(content.tasks), upstreams.value());
  return request;
}

}  // namespace tarragondrift
