#include "config_loader.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "mock_ports.h"
#include "tarragondrift/config/document_text.h"

namespace tarragondrift {
namespace {

std::string ReadExample() {
  std::ifstream file("examples/config/demo.json");
  return {std::istreambuf_iterator<char>(file), {}};
}

config_text MakeText(uint64_t version) {
  const std::string text = ReadExample();
  return {.version = version, .digest = DigestConfigText(text), .text = text};
}

/// A loader that gets no request to read the table.
struct fixture {
  mock_table table;
  metrics counts;
  engine target{{.entry = {.self = {7}}, .members = {.self = {7}}}};
  config_loader loader{table, "production", target, counts};
};

TEST_CASE("a document from another entry is accepted and provided to others") {
  fixture own;
  own.loader.Take(MakeText(3));
  CHECK(own.loader.Config().version == 3);
  CHECK(own.loader.Config().text == ReadExample());
  CHECK(own.loader.Config().digest == DigestConfigText(ReadExample()));
}

TEST_CASE("an older document from another entry changes nothing") {
  fixture own;
  own.loader.Take(MakeText(3));
  own.loader.Take(MakeText(2));
  CHECK(own.loader.Config().version == 3);
  own.loader.Take(MakeText(4));
  CHECK(own.loader.Config().version == 4);
}

TEST_CASE("an invalid document from another entry changes nothing") {
  fixture own;
  config_text cut = MakeText(3);
  cut.text += " ";
  own.loader.Take(cut);
  CHECK(own.loader.Config().version == 0);
  config_text invalid{.version = 3, .text = "{"};
  invalid.digest = DigestConfigText(invalid.text);
  own.loader.Take(invalid);
  CHECK(own.loader.Config().version == 0);
}

TEST_CASE("an entry that has just started does not serve") {
  fixture own;
  own.loader.Take(MakeText(3));
  CHECK_FALSE(own.target.MayServe());
}

}  // namespace
}  // namespace tarragondrift
