#include "rattanweir/base/json/json.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("a value is serialized on one line and parsed back")
{
  const std::string text = R"({"list":[1,"two",null],"nested":{"a":true}})";
  const auto value = ParseJson(text);
  REQUIRE(value);
  REQUIRE(JsonText(*value) == text);
}

TEST_CASE("ParseJson rejects anything but one valid JSON value")
{
  const std::string text = GENERATE(std::string(),
                                    std::string("{"),
                                    std::string("{} {}"),
                                    std::string("{'a':1}"),
                                    std::string("{\"a\":1,}"),
                                    std::string("// note\n{}"),
                                    std::string(R"({"a":1,"a":2})"),
                                    std::string(kMaximumJsonDepth + 1, '[') +
                                      std::string(kMaximumJsonDepth + 1, ']'));
  CAPTURE(text);
  REQUIRE_FALSE(ParseJson(text));
}

} // namespace
} // namespace rattanweir
