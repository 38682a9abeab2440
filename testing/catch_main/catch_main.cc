// The entry point that all Catch2 programs share.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
