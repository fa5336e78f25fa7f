// Tables of names that the stand-ins' admin endpoints take.
#ifndef TARRAGONDRIFT_FAKES_FAKE_NAMES_H_
#define TARRAGONDRIFT_FAKES_FAKE_NAMES_H_

#include <optional>
#include <string_view>

namespace tarragondrift {

/// Finds the value of a name in a table of names.
template <class Table>
auto FindName(const Table& table, std::string_view name)
    -> std::optional<decltype(table.front().second)> {
  for (const auto& [known, value] : table) {
    if (known == name) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace tarragondrift

#endif  // TARRAGONDRIFT_FAKES_FAKE_NAMES_H_
