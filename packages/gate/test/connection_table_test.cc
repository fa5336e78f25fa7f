// Which connections give way when connections or memory run out.
#include "connection_table.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

/// A connection and its client's end.
class socket_pair {
 public:
  socket_pair() {
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()) == 0);
  }
  socket_pair(const socket_pair&) = delete;
  socket_pair& operator=(const socket_pair&) = delete;
  ~socket_pair() {
    close(ends_[0]);
    close(ends_[1]);
  }

  int Server() const { return ends_[0]; }

  bool IsShutDown() const {
    char byte = 0;
    return recv(ends_[1], &byte, 1, MSG_DONTWAIT) == 0;
  }

 private:
  std::array<int, 2> ends_{};
};

struct table_fixture {
  table_fixture() {
    table.max_connections = 2;
    table.max_bytes = 10;
  }

  void Open(const socket_pair& one) {
    AddConnection(table, &one, one.Server(), now);
  }

  body_outcome Send(const socket_pair& one, const std::string& piece) {
    BeginRequest(table, &one, now);
    return AppendBody(table, &one, piece.data(), piece.size());
  }

  connection_table table;
  instant now{10s};
  socket_pair first;
  socket_pair second;
  socket_pair third;
};

TEST_CASE_METHOD(table_fixture,
                 "a connection that is unfinished kept others out") {
  Open(first);
  Open(second);
  BeginServing(table, &first, now);
  Open(third);
  CHECK_FALSE(first.IsShutDown());
  CHECK(second.IsShutDown());
  CHECK_FALSE(third.IsShutDown());
}

TEST_CASE_METHOD(table_fixture,
                 "an idle connection was closed before an unfinished one") {
  Open(first);
  Open(second);
  BeginServing(table, &first, now);
  EndServing(table, &first, now);
  Open(third);
  CHECK_FALSE(first.IsShutDown());
  CHECK(second.IsShutDown());
}

TEST_CASE_METHOD(table_fixture, "unfinished bodies took all memory") {
  Open(first);
  Open(second);
  CHECK(Send(first, "12345678") == body_outcome::kStored);
  CHECK(Send(second, "1234") == body_outcome::kStored);
  CHECK(first.IsShutDown());
  CHECK(table.bytes == 4);
  CHECK(AppendBody(table, &first, "9", 1) == body_outcome::kClosing);
}

TEST_CASE_METHOD(table_fixture,
                 "requests that are served were closed, or not counted") {
  Open(first);
  Open(second);
  CHECK(Send(first, "12345678") == body_outcome::kStored);
  CHECK(BeginServing(table, &first, now) == "12345678");
  CHECK(Send(second, "1234") == body_outcome::kNoRoom);
  CHECK_FALSE(first.IsShutDown());
  EndServing(table, &first, now);
  CHECK(Send(second, "1234") == body_outcome::kStored);
}

TEST_CASE_METHOD(table_fixture,
                 "a request lasted for as long as bytes of it came") {
  Open(first);
  Open(second);
  Send(first, "1");
  now += 31s;
  Send(second, "1");
  AppendBody(table, &first, "2", 1);
  CloseOverdue(table, 30s, 75s, now);
  CHECK(first.IsShutDown());
  CHECK_FALSE(second.IsShutDown());
}

}  // namespace
}  // namespace tarragondrift
