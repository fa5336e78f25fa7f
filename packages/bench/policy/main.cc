// The dispatch policy in virtual time: both deployments of today under all
// policies, each fault, and the design size.
#include <iostream>
#include <string>

#include "checks.h"

int main(int count, char** arguments) {
  using namespace tarragondrift::bench;  // NOLINT: the program is the bench
  // With a folder, the slowdowns of each policy go there for the plot.
  const std::string folder = count > 1 ? arguments[1] : "";
  bool met = CheckSlowdowns(folder);
  met = CheckSaturation() && met;
  met = CheckFailures() && met;
  met = CheckShares() && met;
  met = CheckDesignSize() && met;
  std::cout << "policy_bench all_bounds_met=" << (met ? "yes" : "no")
            << std::endl;
  return 0;
}
