// Which steps end the wait of the engine thread.
#include "engine_queue.h"

#include <catch2/catch.hpp>
#include <thread>

#include "clock.h"

namespace tarragondrift {
namespace {

using namespace std::chrono_literals;  // NOLINT: literals only

constexpr std::chrono::milliseconds kLongWait{10'000};

TEST_CASE("a deferrable step that was posted before a wait ends it") {
  engine_queue queue;
  queue.PostDeferrable([](instant) {}, Now());
  CHECK(queue.TakeUntil(Now() + kLongWait).size() == 1);
}

TEST_CASE("messages that waited for a delivery were sent with the next tick") {
  engine_queue queue;
  queue.SetUrgent(true);
  const instant began = Now();
  std::thread consumer([&] { queue.TakeUntil(began + kLongWait); });
  std::this_thread::sleep_for(50ms);
  queue.PostDeferrable([](instant) {}, Now());
  consumer.join();
  CHECK(Now() - began < kLongWait);
}

}  // namespace
}  // namespace tarragondrift
