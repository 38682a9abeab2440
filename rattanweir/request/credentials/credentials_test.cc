#include "rattanweir/request/credentials/credentials.h"

#include "rattanweir/request/body/request_body.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace rattanweir {
namespace {

constexpr const char* kKey = "a-secret-key";

TEST_CASE("the key is read from Authorization or x-api-key")
{
  struct Row
  {
    HeaderFields m_headers;
    std::optional<std::string> m_key;
  };
  const Row rows[] = {
    { {}, std::nullopt },
    { { { "Authorization", "Bearer a-secret-key" } }, kKey },
    { { { "authorization", "bearer   a-secret-key" } }, kKey },
    { { { "Authorization", "Basic abc" } }, std::nullopt },
    { { { "Authorization", "Bearer " } }, std::nullopt },
    { { { "X-Api-Key", kKey } }, kKey },
    { { { "x-api-key", kKey }, { "authorization", "Bearer a-secret-key" } },
      kKey },
  };
  for (const Row& row : rows) {
    REQUIRE(PresentedKey(row.m_headers) == row.m_key);
  }
  REQUIRE_THROWS_AS(PresentedKey({ { "x-api-key", "one" },
                                   { "authorization", "Bearer other" } }),
                    RequestError);
}

TEST_CASE(
  "only allowed header fields that do not contain the key are forwarded")
{
  const HeaderFields headers = {
    { "Authorization", "Bearer a-secret-key" },
    { "x-api-key", kKey },
    { "Cookie", kKey },
    { "rattanweir-hop", "forged" },
    { "x-request-id", "forged" },
    { "Content-Type", "text/plain" },
    { "User-Agent", "app a-secret-key" },
    { "accept", "*/*" },
  };
  const HeaderFields forwarded = ForwardedHeaders(headers, std::string(kKey));
  REQUIRE(forwarded.size() == 2);
  REQUIRE(forwarded[0].m_name == "Content-Type");
  REQUIRE(forwarded[1].m_name == "accept");
}

TEST_CASE("key parameters are removed from a target")
{
  const std::pair<const char*, const char*> rows[] = {
    { "/v1/a", "/v1/a" },
    { "/v1/a?b=1", "/v1/a?b=1" },
    { "/v1/a?key=x", "/v1/a" },
    { "/v1/a?b=1&api_key=x&c=2", "/v1/a?b=1&c=2" },
    { "/v1/a?access_token=x&b", "/v1/a?b" },
    { "/v1/a?%6bey=x&KEY=y&monkey=z", "/v1/a?monkey=z" },
  };
  for (const auto& [target, forwarded] : rows) {
    REQUIRE(ForwardedTarget(target) == forwarded);
  }
  REQUIRE(TargetPath("/v1/a?b=1") == "/v1/a");
}

TEST_CASE("routing fields are read from bodies and key fields are removed")
{
  struct Row
  {
    const char* m_type;
    const char* m_text;
    const char* m_forwarded;
    std::optional<std::int64_t> m_maxTokens;
  };
  const Row rows[] = {
    { "application/json",
      R"({ "model":"m", "max_tokens":7 })",
      R"({ "model":"m", "max_tokens":7 })",
      7 },
    { "application/json; charset=utf-8",
      R"({"api_key":"a-secret-key","n":1})",
      R"({"n":1})",
      {} },
    { "text/plain",
      R"( {"api_\u006bey":"a-secret-key","access_token":1})",
      "{}",
      {} },
    { "application/x-www-form-urlencoded", "a=1&api_key=x", "a=1", {} },
    { "text/plain", "key=x", "key=x", {} },
    { "application/json", "", "", {} },
    { "application/json", "[1]", "[1]", {} },
  };
  for (const Row& row : rows) {
    const RequestBody body =
      ReadRequestBody({ { "content-type", row.m_type } }, row.m_text);
    REQUIRE(*body.m_text == row.m_forwarded);
    REQUIRE(body.m_maxTokens == row.m_maxTokens);
  }
  const RequestBody body =
    ReadRequestBody({}, R"({"model":"m","prompt":"12345"})");
  REQUIRE(body.m_model == ModelId("m"));
  REQUIRE(body.m_promptBytes == 5);
}

// A body that parsers read differently could hide key fields from the removal.
TEST_CASE("JSON with invalid syntax, repeated or ill-typed fields is rejected")
{
  const std::string deep(5000, '[');
  const std::string rows[] = {
    R"({"api_key":"x")", R"({"model":"a","model":"b"})",
    R"({"model":1})",    R"({"max_tokens":-1})",
    R"({"a":)" + deep,
  };
  for (const std::string& row : rows) {
    INFO(row.substr(0, 60));
    REQUIRE_THROWS_AS(
      ReadRequestBody({ { "content-type", "application/json" } }, row),
      RequestError);
  }
}

} // namespace
} // namespace rattanweir
