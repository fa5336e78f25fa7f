// Mocks of the ports to the platform, for the tests of whatever uses them.
#ifndef TARRAGONDRIFT_PORTS_TEST_MOCK_PORTS_H_
#define TARRAGONDRIFT_PORTS_TEST_MOCK_PORTS_H_

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <string>
#include <vector>

#include "tarragondrift/ports/instances.h"
#include "tarragondrift/ports/objects.h"
#include "tarragondrift/ports/table.h"

namespace tarragondrift {

/// A table service that a test sets expectations on.
class mock_table : public table_port {
 public:
  MAKE_MOCK1(Get, result<table_row>(const std::string&), override);
  MAKE_MOCK1(List, result<std::vector<table_row>>(const std::string&),
             override);
  MAKE_MOCK1(Write, result<void>(const std::vector<table_write>&), override);
};

/// An object store that a test sets expectations on.
class mock_objects : public object_port {
 public:
  MAKE_MOCK1(Get, result<std::string>(const std::string&), override);
  MAKE_MOCK2(Put, result<void>(const std::string&, const std::string&),
             override);
};

/// An instance list that a test sets expectations on.
class mock_instances : public instance_port {
 public:
  MAKE_MOCK2(List,
             result<std::vector<listed_instance>>(const std::string&,
                                                  const std::string&),
             override);
};

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_PORTS_TEST_MOCK_PORTS_H_
