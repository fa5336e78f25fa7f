// The admin port of the stand-in platform.
#include "fake_platform.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tarragondrift/ports/http_client.h"

namespace tarragondrift {
namespace {

struct admin_fixture {
  fake_platform platform{{.writes_per_s = 300, .reads_per_s = 2'000}};
  http_client client{http_client_options{}};

  admin_fixture() { REQUIRE(platform.Start()); }
  ~admin_fixture() { platform.Stop(); }

  http_reply Admin(const std::string& path, const std::string& body) {
    return client.Send({.method = http_method::kPost,
                        .url = platform.AdminUrl() + path,
                        .body = body});
  }

  http_reply ReadList() {
    return client.Send({.url = platform.Url(fake_service::kInstances) +
                               "/v1/health/service/plata?dc=dc1"});
  }
};

}  // namespace

TEST_CASE_METHOD(admin_fixture, "faults are switched by the admin port") {
  CHECK(ReadList().status == 200);
  CHECK(Admin("/faults", R"({"service":"instances","mode":"down"})").status ==
        200);
  CHECK(ReadList().exchange == http_exchange::kNotSent);
  CHECK(Admin("/faults", R"({"service":"instances","mode":"none"})").status ==
        200);
  CHECK(ReadList().status == 200);
  CHECK(Admin("/faults", R"({"service":"instances","mode":"odd"})").status ==
        400);
  CHECK(Admin("/faults", "no json").status == 400);
}

TEST_CASE_METHOD(admin_fixture, "instances are registered by the admin port") {
  CHECK(Admin("/instances", R"({"service":"plata","address":"127.0.0.1:9100"})")
            .status == 200);
  const auto list = nlohmann::json::parse(ReadList().body);
  REQUIRE(list.size() == 1);
  CHECK(list[0].at("Service").at("Port") == 9100);
  CHECK(client
            .Send({.method = http_method::kDelete,
                   .url = platform.AdminUrl() +
                          "/instances?address=127.0.0.1:9100"})
            .status == 200);
  CHECK(ReadList().body == "[]");
  CHECK(client
            .Send({.method = http_method::kDelete,
                   .url = platform.AdminUrl() + "/instances"})
            .status == 400);
}

TEST_CASE_METHOD(admin_fixture, "a port in use is not shared") {
  const std::string url = platform.AdminUrl();
  const auto port =
      static_cast<uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
  fake_platform second({.admin_port = port});
  CHECK_FALSE(second.Start());
  second.Stop();
}

TEST_CASE_METHOD(admin_fixture, "calls are counted") {
  ReadList();
  const auto stats = client.Send({.url = platform.AdminUrl() + "/stats"});
  CHECK(nlohmann::json::parse(stats.body).at("instances").at("reads") == 1);
}

}  // namespace tarragondrift
