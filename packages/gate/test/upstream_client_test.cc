#include "tarragondrift/gate/upstream_client.h"

#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <string>

#include "closing_server.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// Runs attempts one at a time and waits for each result.
class sequential_client {
 public:
  attempt_result Run(const std::string& address, const std::string& payload) {
    ended_ = {};
    std::future<attempt_result> ended = ended_.get_future();
    client_->Run({.address = address,
                  .task_name = "t\r\nX-Evil: 1",
                  .payload = payload,
                  .timeout = 2s});
    return ended.get();
  }

 private:
  std::promise<attempt_result> ended_;
  std::unique_ptr<upstream_client> client_ = upstream_client::Start(
      {.threads = 1}, [this](const placement&, attempt_result ended) {
        ended_.set_value(std::move(ended));
      });
};

TEST_CASE("a request lost on a reused connection is never resent") {
  closing_server server(1);
  sequential_client client;
  CHECK(client.Run(server.Address(), "first#").outcome ==
        attempt_outcome::kSucceeded);
  const attempt_result second = client.Run(server.Address(), "second#");
  CHECK(second.outcome == attempt_outcome::kUnknown);
  CHECK(second.connection_broken);
  CHECK(server.Requests() == 2);
}

TEST_CASE("a connection is reused for the next request") {
  closing_server server(3);
  sequential_client client;
  for (int round = 0; round < 3; ++round) {
    const attempt_result ended = client.Run(server.Address(), "x#");
    CHECK(ended.outcome == attempt_outcome::kSucceeded);
    CHECK(ended.body == "ok");
  }
  CHECK(server.Connections() == 1);
}

TEST_CASE("an attempt whose connection is refused has not started") {
  std::string address;
  {
    const closing_server server(0);
    address = server.Address();
  }
  sequential_client client;
  CHECK(client.Run(address, "x#").outcome == attempt_outcome::kRefused);
}

}  // namespace
}  // namespace tarragondrift
