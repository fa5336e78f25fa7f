#include "config_positions.h"

#include <catch2/catch.hpp>

namespace tarragondrift {
namespace {

config_document WithUpstreams(std::vector<std::string> names) {
  config_document document;
  for (std::string& name : names) {
    document.upstreams.push_back({.name = std::move(name)});
  }
  return document;
}

TEST_CASE("a name keeps its position, and a removed name is not found") {
  const config_document before = WithUpstreams({"a", "b", "c"});
  const config_document next =
      KeepPositions(before, WithUpstreams({"d", "c", "a"}));
  CHECK(FindUpstream(next, "a").index == 0);
  CHECK(FindUpstream(next, "c").index == 2);
  CHECK(FindUpstream(next, "d").index == 3);
  CHECK_FALSE(FindUpstream(next, "b").Valid());
}

TEST_CASE("a name that is added again gets a new position") {
  const config_document gone =
      KeepPositions(WithUpstreams({"a", "b"}), WithUpstreams({"b"}));
  const config_document back = KeepPositions(gone, WithUpstreams({"a", "b"}));
  CHECK(FindUpstream(back, "a").index == 2);
  CHECK(FindUpstream(back, "b").index == 1);
}

}  // namespace
}  // namespace tarragondrift
