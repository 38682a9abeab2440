// Defines main() for all Catch2 test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
