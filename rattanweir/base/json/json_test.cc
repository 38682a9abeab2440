#include "rattanweir/base/json/json.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

TEST_CASE("a value reads back from its text, which is one line")
{
  const std::string text = R"({"list":[1,"two",null],"nested":{"a":true}})";
  const auto value = ParseJson(text);
  REQUIRE(value);
  REQUIRE(JsonText(*value) == text);
}

TEST_CASE("what is not one valid JSON value is refused")
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
