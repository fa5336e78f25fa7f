// The clients of the platform against the stand-in, fault by fault.
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fake_http_server.h"
#include "fake_platform.h"
#include "tarragondrift/ports/clients.h"

namespace tarragondrift {
namespace {

constexpr std::chrono::milliseconds kTimeout{200};

/// A stand-in platform and a client of each of its services.
struct platform_fixture {
  fake_platform platform{fake_platform_options{}};
  std::unique_ptr<table_port> table;
  std::unique_ptr<object_port> objects;
  std::unique_ptr<instance_port> instances;

  platform_fixture() {
    REQUIRE(platform.Start());
    table = MakeTableClient(
        {.base_url = platform.Url(fake_service::kTable), .timeout = kTimeout});
    objects =
        MakeObjectClient({.base_url = platform.Url(fake_service::kObjects),
                          .timeout = kTimeout});
    instances =
        MakeInstanceClient({.base_url = platform.Url(fake_service::kInstances),
                            .timeout = kTimeout});
  }

  ~platform_fixture() { platform.Stop(); }

  result<void> Insert(const std::string& key, const std::string& value) {
    return table->Write({{.key = key, .value = value, .expected_version = 0}});
  }
};

/// The code of a result, kOk for a value.
template <class Result>
result_code CodeOf(const Result& result) {
  return result ? result_code::kOk : result.error();
}

}  // namespace

TEST_CASE_METHOD(platform_fixture, "table rows are written and read back") {
  CHECK(CodeOf(table->Get("a")) == result_code::kNotFound);
  REQUIRE(Insert("a", "one"));
  const auto row = table->Get("a");
  REQUIRE(row);
  CHECK(row.value().key == "a");
  CHECK(row.value().value == "one");
  CHECK(row.value().version == 1);
}

TEST_CASE_METHOD(platform_fixture, "a table row's version guards its writes") {
  REQUIRE(Insert("a", "one"));
  CHECK(CodeOf(Insert("a", "two")) == result_code::kStoreConflict);
  CHECK(CodeOf(table->Write(
            {{.key = "a", .value = "two", .expected_version = 7}})) ==
        result_code::kStoreConflict);
  CHECK(table->Write({{.key = "a", .value = "two", .expected_version = 1}}));
  CHECK(table->Write({{.key = "a", .value = "three"}}));
  CHECK(table->Get("a").value().version == 3);
  CHECK(table->Get("a").value().value == "three");
}

TEST_CASE_METHOD(platform_fixture, "table rows are erased under a condition") {
  REQUIRE(Insert("a", "one"));
  CHECK(CodeOf(table->Write(
            {{.key = "a", .expected_version = 2, .erase = true}})) ==
        result_code::kStoreConflict);
  CHECK(table->Write({{.key = "a", .expected_version = 1, .erase = true}}));
  CHECK(CodeOf(table->Get("a")) == result_code::kNotFound);
}

TEST_CASE_METHOD(platform_fixture, "a table transaction is whole or nothing") {
  REQUIRE(Insert("a", "one"));
  CHECK(CodeOf(table->Write(
            {{.key = "b", .value = "new", .expected_version = 0},
             {.key = "a", .value = "two", .expected_version = 9}})) ==
        result_code::kStoreConflict);
  CHECK(CodeOf(table->Get("b")) == result_code::kNotFound);
  CHECK(table->Write({{.key = "b", .value = "new", .expected_version = 0},
                      {.key = "a", .expected_version = 1, .erase = true}}));
  CHECK(table->Get("b").value().value == "new");
  CHECK(CodeOf(table->Get("a")) == result_code::kNotFound);
}

TEST_CASE_METHOD(platform_fixture, "a table listing follows its pages") {
  platform.Table().SetPageSize(2);
  for (const char* key : {"p/3", "p/1", "q/1", "p/2", "p/5", "p/4"}) {
    REQUIRE(Insert(key, key));
  }
  const auto rows = table->List("p/");
  REQUIRE(rows);
  REQUIRE(rows.value().size() == 5);
  CHECK(rows.value().front().key == "p/1");
  CHECK(rows.value().back().key == "p/5");
  CHECK(table->List("").value().size() == 6);
  CHECK(table->List("none").value().empty());
}

TEST_CASE_METHOD(platform_fixture, "oversize and malformed writes stay here") {
  CHECK(CodeOf(table->Write(std::vector<table_write>(101))) ==
        result_code::kRequestTooLarge);
  CHECK(CodeOf(Insert("a", "\xff")) == result_code::kMalformedRequest);
  CHECK(table->Write({}));
}

TEST_CASE_METHOD(platform_fixture, "a service that is down had no effect") {
  REQUIRE(Insert("a", "one"));
  for (const auto service : {fake_service::kTable, fake_service::kObjects,
                             fake_service::kInstances}) {
    platform.SetFault(service, fault_mode::kDown);
  }
  CHECK(CodeOf(table->Get("a")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(table->List("a")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(Insert("b", "one")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(objects->Get("o")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(objects->Put("o", "x")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(instances->List("plata", "dc1")) ==
        result_code::kStoreUnavailable);
  platform.SetFault(fake_service::kTable, fault_mode::kNone);
  CHECK(table->Get("a").value().value == "one");
  CHECK(CodeOf(table->Get("b")) == result_code::kNotFound);
}

TEST_CASE_METHOD(platform_fixture,
                 "a write whose reply is lost is unknown and left one effect") {
  // The first write leaves a kept connection: a client that repeated the
  // second one on a fresh connection would write the row twice.
  REQUIRE(Insert("kept", "connection"));
  platform.SetFault(fake_service::kTable, fault_mode::kReplyLost);
  CHECK(CodeOf(table->Write({{.key = "kept", .value = "changed"}})) ==
        result_code::kStoreUnknown);
  CHECK(CodeOf(Insert("a", "one")) == result_code::kStoreUnknown);
  platform.SetFault(fake_service::kTable, fault_mode::kNone);
  CHECK(table->Get("a").value().version == 1);
  CHECK(table->Get("kept").value().version == 2);
}

TEST_CASE_METHOD(platform_fixture, "an object whose reply is lost is unknown") {
  REQUIRE(objects->Put("kept", "connection"));
  platform.SetFault(fake_service::kObjects, fault_mode::kReplyLost);
  CHECK(CodeOf(objects->Put("o", "x")) == result_code::kStoreUnknown);
  platform.SetFault(fake_service::kObjects, fault_mode::kNone);
  CHECK(objects->Get("o").value() == "x");
}

TEST_CASE_METHOD(platform_fixture, "a slow write is unknown, a read is not") {
  REQUIRE(Insert("a", "one"));
  platform.SetFault(fake_service::kTable, fault_mode::kSlow, kTimeout * 5);
  CHECK(CodeOf(Insert("b", "one")) == result_code::kStoreUnknown);
  CHECK(CodeOf(table->Get("a")) == result_code::kStoreUnavailable);
  platform.SetFault(fake_service::kTable, fault_mode::kNone);
  CHECK(table->Get("b").value().value == "one");
}

TEST_CASE_METHOD(platform_fixture, "a black hole is unknown for a write") {
  platform.SetFault(fake_service::kTable, fault_mode::kBlackHole);
  CHECK(CodeOf(Insert("a", "one")) == result_code::kStoreUnknown);
  platform.SetFault(fake_service::kTable, fault_mode::kNone);
  CHECK(CodeOf(table->Get("a")) == result_code::kNotFound);
}

TEST_CASE_METHOD(platform_fixture, "server errors are unknown for writes") {
  for (const auto service : {fake_service::kTable, fake_service::kObjects,
                             fake_service::kInstances}) {
    platform.SetFault(service, fault_mode::kServerError);
  }
  CHECK(CodeOf(Insert("a", "one")) == result_code::kStoreUnknown);
  CHECK(CodeOf(table->Get("a")) == result_code::kStoreUnavailable);
  CHECK(CodeOf(objects->Put("o", "x")) == result_code::kStoreUnknown);
  CHECK(CodeOf(instances->List("plata", "dc1")) ==
        result_code::kStoreUnavailable);
}

TEST_CASE_METHOD(platform_fixture, "calls over the rate limit have no effect") {
  platform.SetLimits(10, 10);
  size_t written = 0;
  result_code last = result_code::kOk;
  for (int number = 0; last == result_code::kOk && number < 1'000; ++number) {
    last = CodeOf(Insert("k" + std::to_string(number), "x"));
    written += last == result_code::kOk ? 1 : 0;
  }
  CHECK(last == result_code::kStoreThrottled);
  platform.SetLimits(0, 0);
  CHECK(table->List("k").value().size() == written);
  platform.SetLimits(1, 1);
  CHECK(objects->Put("o", "x"));
  CHECK(CodeOf(objects->Put("o", "y")) == result_code::kStoreThrottled);
}

TEST_CASE_METHOD(platform_fixture, "objects are written and read back") {
  CHECK(CodeOf(objects->Get("dir/a b")) == result_code::kNotFound);
  const std::string content("text\0with\xff", 10);
  REQUIRE(objects->Put("dir/a b", content));
  CHECK(objects->Get("dir/a b").value() == content);
  REQUIRE(objects->Put("empty", ""));
  CHECK(objects->Get("empty").value().empty());
}

TEST_CASE_METHOD(platform_fixture, "objects are bounded in size") {
  const auto small =
      MakeObjectClient({.base_url = platform.Url(fake_service::kObjects),
                        .timeout = kTimeout,
                        .most_object_bytes = 8});
  CHECK(CodeOf(small->Put("o", "123456789")) == result_code::kRequestTooLarge);
  REQUIRE(objects->Put("o", "123456789"));
  CHECK(CodeOf(small->Get("o")) == result_code::kStoreUnavailable);
}

TEST_CASE_METHOD(platform_fixture, "instances are listed by data centre") {
  platform.Instances().Register({.service = "plata",
                                 .address = "127.0.0.1:9100",
                                 .data_centre = "dc1",
                                 .rack = "r2",
                                 .slots = 6});
  platform.Instances().Register(
      {.service = "plata", .address = "127.0.0.1:9101", .data_centre = "dc2"});
  const auto listed = instances->List("plata", "dc1");
  REQUIRE(listed);
  REQUIRE(listed.value().size() == 1);
  const listed_instance& instance = listed.value().front();
  CHECK(instance.address == "127.0.0.1:9100");
  CHECK(instance.data_centre == "dc1");
  CHECK(instance.rack == "r2");
  CHECK(instance.slots == 6);
  CHECK_FALSE(instance.leaving);
  CHECK(instances->List("other", "dc1").value().empty());
}

TEST_CASE_METHOD(platform_fixture, "the instance list marks the leaving") {
  platform.Instances().Register({.service = "plata",
                                 .address = "127.0.0.1:9100",
                                 .data_centre = "dc1",
                                 .leaving = true});
  const auto listed = instances->List("plata", "dc1");
  REQUIRE(listed);
  REQUIRE(listed.value().size() == 1);
  CHECK(listed.value().front().leaving);
  platform.Instances().Deregister("127.0.0.1:9100");
  CHECK(instances->List("plata", "dc1").value().empty());
}

// Guards against a list that is not followed any more because of one entry.
TEST_CASE("odd entries do not make the instance list unreadable") {
  constexpr size_t kDepth = 30'000;
  const auto entry = [](const std::string& port) {
    return R"({"Node":{"Address":"127.0.0.1","Datacenter":"dc1"},
               "Service":{"Port":)" +
           port + "}}";
  };
  const std::string body =
      '[' + entry("9100") + ',' + entry("74636") + ',' + entry("0") + ',' +
      entry("-1") + ',' + entry(R"("9100")") + ',' +
      entry("123456789012345678901234567890") + ',' +
      entry(std::string(kDepth, '[') + std::string(kDepth, ']')) +
      R"(,{},5,{"Service":7},{"Checks":5,"Service":{"Port":1}},)" +
      entry("9101") + ']';
  fake_http_server server(
      [&body](const fake_request&) { return fake_reply{.body = body}; });
  REQUIRE(server.Start(0));
  const auto client = MakeInstanceClient(
      {.base_url = "http://" + server.Address(), .timeout = kTimeout * 10});
  const auto listed = client->List("plata", "dc1");
  REQUIRE(listed);
  REQUIRE(listed.value().size() == 2);
  CHECK(listed.value()[0].address == "127.0.0.1:9100");
  CHECK(listed.value()[1].address == "127.0.0.1:9101");
}

TEST_CASE_METHOD(platform_fixture, "the instance list lags") {
  platform.Instances().SetLag(std::chrono::hours(1));
  platform.Instances().Register(
      {.service = "plata", .address = "127.0.0.1:9100", .data_centre = "dc1"});
  CHECK(instances->List("plata", "dc1").value().empty());
  platform.Instances().SetLag(std::chrono::milliseconds(0));
  CHECK(instances->List("plata", "dc1").value().size() == 1);
}

}  // namespace tarragondrift
