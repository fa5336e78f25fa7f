// The mocks stand in for the ports.
#include "mock_ports.h"

#include <catch2/catch.hpp>

namespace tarragondrift {

TEST_CASE("a mocked table answers as the test has it") {
  mock_table table;
  REQUIRE_CALL(table, Get("a")).RETURN(table_row{.key = "a", .version = 4});
  REQUIRE_CALL(table, Write(ANY(std::vector<table_write>)))
      .WITH(_1.size() == 2)
      .RETURN(result<void>(result_code::kStoreUnknown));
  table_port& port = table;
  CHECK(port.Get("a").value().version == 4);
  CHECK(port.Write(std::vector<table_write>(2)).error() ==
        result_code::kStoreUnknown);
}

TEST_CASE("mocked objects and instances answer as the test has it") {
  mock_objects objects;
  mock_instances instances;
  REQUIRE_CALL(objects, Put("name", "content"))
      .RETURN(result<void>(outcome::success()));
  REQUIRE_CALL(instances, List("plata", "dc1"))
      .RETURN(std::vector<listed_instance>{{.address = "127.0.0.1:1"}});
  CHECK(static_cast<object_port&>(objects).Put("name", "content"));
  CHECK(static_cast<instance_port&>(instances)
            .List("plata", "dc1")
            .value()
            .size() == 1);
}

}  // namespace tarragondrift
