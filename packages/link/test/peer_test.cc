#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

#include "tarragondrift/link/peer_client.h"
#include "tarragondrift/link/peer_server.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// Returns a loopback address without a listener.
std::string FreeAddress() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
  if (bind(probe, generic, sizeof(address)) != 0) {
    throw std::runtime_error("cannot bind");
  }
  socklen_t length = sizeof(address);
  getsockname(probe, generic, &length);
  close(probe);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

const std::string kAddress = FreeAddress();

/// An entry that echoes the content of each submission.
class echo_entry : public submission_port, public peer_handler {
 public:
  result<ticket_block> MintTickets(uint32_t /*count*/) override {
    return result_code::kInternal;
  }
  void Submit(job_content content, const hold_options& hold,
              reply_callback done) override {
    may_forward = hold.may_forward;
    seen = content;
    job_answer answer{.id = content.id.value_or(submission_id{}),
                      .code = result_code::kOk,
                      .response_time = 5us};
    for (const task_content& task : content.tasks) {
      answer.tasks.push_back({task.name, task_state::kSucceeded, task.payload});
    }
    done({.id = answer.id,
          .answer = std::make_shared<const job_answer>(answer)});
  }
  void Await(const submission_id& id, const hold_options& /*hold*/,
             reply_callback done) override {
    done({.id = id, .progress = {.tasks = 3, .running = 2, .finished = 1}});
  }
  void Cancel(const submission_id& /*id*/, bool /*may_forward*/,
              cancel_callback done) override {
    done(result_code::kNotFound);
  }
  submission_port& Submissions() override { return *this; }
  void OnHeartbeat(heartbeat beat,
                   std::function<void(beat_reply)> done) override {
    last_heartbeat = std::move(beat);
    done({.from = {9}, .supports = true});
  }
  void OnHandOver(hand_over /*handed*/,
                  std::function<void(incarnation)> done) override {
    done({9});
  }
  config_text OnFetchConfig(uint64_t version) override {
    return {version, "d", "text"};
  }
  void OnLendSlots(loan_request request,
                   std::function<void(loan_grant)> done) override {
    done({.from = {9}, .number = request.number, .items = {{"a", 2}}});
  }
  void OnReturnSlots(loan_return /*message*/) override {}

  bool may_forward = true;
  job_content seen;
  heartbeat last_heartbeat;
};

/// Waits for the reply to an asynchronous call.
template <class Reply, class Call>
result<Reply> WaitForReply(Call call) {
  const auto promise = std::make_shared<std::promise<result<Reply>>>();
  std::future<result<Reply>> reply = promise->get_future();
  call([promise](result<Reply> value) { promise->set_value(value); });
  return reply.get();
}

job_content MakeContent() {
  return {.idempotency_key = "k",
          .contract = "quote",
          .team = "sales",
          .deadline = 7ms,
          .tasks = {{"t", "plata", 3us, std::string("\0\xff", 2)}},
          .digest = {1, 2}};
}

TEST_CASE("messages between entries arrive as they were sent") {
  echo_entry entry;
  const auto server =
      peer_server::Start({.address = kAddress, .token = "secret"}, entry);
  REQUIRE(server);
  const auto client = peer_client::Make({.token = "secret"});
  const submission_id id{2, {0xfeU}, 77};

  const auto reply = WaitForReply<submission_reply>([&](auto done) {
    client->Submit(kAddress, id, MakeContent(), 100ms, done);
  });
  REQUIRE(reply);
  REQUIRE(reply.value().answer != nullptr);
  CHECK(reply.value().answer->id == id);
  CHECK(reply.value().answer->tasks[0].body == std::string("\0\xff", 2));
  CHECK(entry.seen.deadline == 7ms);
  CHECK(entry.seen.digest == content_digest{1, 2});
  CHECK(entry.seen.tasks[0].declared == 3us);
  CHECK_FALSE(entry.may_forward);

  const auto status = WaitForReply<submission_reply>(
      [&](auto done) { client->Await(kAddress, id, 0ms, done); });
  REQUIRE(status);
  CHECK(status.value().answer == nullptr);
  CHECK(status.value().progress.running == 2);

  const auto beat = WaitForReply<beat_reply>([&](auto done) {
    client->Beat(kAddress, {.from = {5}, .leaving = {"x"}}, done);
  });
  REQUIRE(beat);
  CHECK(beat.value().supports);
  CHECK(entry.last_heartbeat.leaving == std::vector<std::string>{"x"});
}

TEST_CASE("a wrong token and a missing peer are both unreachable") {
  echo_entry entry;
  const auto client = peer_client::Make({.token = "guess", .timeout = 300ms});
  const auto ask = [&] {
    return WaitForReply<beat_reply>(
        [&](auto done) { client->Beat(kAddress, {.from = {5}}, done); });
  };
  CHECK(ask().error() == result_code::kPeerUnreachable);
  const auto server =
      peer_server::Start({.address = kAddress, .token = "secret"}, entry);
  REQUIRE(server);
  CHECK(ask().error() == result_code::kPeerUnreachable);
  CHECK(entry.last_heartbeat.from == incarnation{0});
}

}  // namespace
}  // namespace tarragondrift
