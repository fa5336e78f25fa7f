#include "tarragondrift/core/config_base.h"

#include <algorithm>

namespace tarragondrift {
namespace {

/// Returns the id of the element with the name, or an invalid id.
template <class Id, class Element>
Id FindByName(const std::vector<Element>& elements, const std::string& name) {
  const auto at = std::find_if(
      elements.begin(), elements.end(),
      [&name](const Element& element) { return element.name == name; });
  if (at == elements.end()) {
    return Id{};
  }
  return Id{static_cast<uint32_t>(at - elements.begin()), 0};
}

}  // namespace

upstream_id FindUpstream(const config_document& config,
                         const std::string& name) {
  return FindByName<upstream_id>(config.upstreams, name);
}

contract_id FindContract(const config_document& config,
                         const std::string& name) {
  return FindByName<contract_id>(config.contracts, name);
}

team_id FindTeam(const config_document& config, const std::string& name) {
  return FindByName<team_id>(config.teams, name);
}

}  // namespace tarragondrift
