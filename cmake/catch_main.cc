// The entry point shared by every package's test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
