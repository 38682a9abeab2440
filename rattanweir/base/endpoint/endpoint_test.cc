#include "rattanweir/base/endpoint/endpoint.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("ToString returns the text that ParseEndpoint parsed")
{
  REQUIRE(ParseEndpoint("10.1.2.3:8080").ToString() == "10.1.2.3:8080");
}

TEST_CASE("ParseEndpoint rejects anything but an address and a port")
{
  const char* text = GENERATE(
    "", "10.1.2.3", "10.1.2.3:", "host:80", "10.1.2:80", "10.1.2.3:65536");
  CAPTURE(text);
  REQUIRE_THROWS_AS(ParseEndpoint(text), EndpointError);
}

} // namespace
} // namespace rattanweir
