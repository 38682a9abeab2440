#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/refusal/refusal.h"

#include "rattanweir/request/refusal/parse_refusal.h"

#include <catch2/catch.hpp>
#include <json/json.h>

#include <sstream>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

std::string
Field(const Refusal& aRefusal, const std::string& aName)
{
  for (const HeaderField& field : aRefusal.m_head.m_headers) {
    if (field.m_name == aName) {
      return field.m_value;
    }
  }
  return "absent";
}

Json::Value
Parsed(const std::string& aText)
{
  Json::Value value;
  std::istringstream(aText) >> value;
  return value;
}

TEST_CASE("the header and the body of a refusal agree")
{
  const struct
  {
    RequestError m_error;
    std::string m_status;
    std::string m_ran;
    std::string m_retryAfter;
  } cases[] = {
    { RequestError(ResultCode::RateExceeded, "empty", 1'001ms),
      "429",
      "no",
      "2" },
    { RequestError(ResultCode::InstanceDraining, "draining"),
      "503",
      "no",
      "0" },
    { RequestError(ResultCode::UnknownRoute, "a \"quoted\" path\n"),
      "404",
      "no",
      "absent" },
    { RequestError(ResultCode::BackendReset, "closed"), "502", "maybe", "1" },
    { RequestError(ResultCode::DeadlineExceeded, "past deadline", Ran::No),
      "504",
      "no",
      "1" },
  };
  for (const auto& row : cases) {
    const Refusal refusal = RefusalResponse(row.m_error, RequestId("r-1"));
    const Json::Value body = Parsed(refusal.m_body);
    CAPTURE(refusal.m_body);
    REQUIRE(std::to_string(refusal.m_head.m_status) == row.m_status);
    REQUIRE(refusal.m_head.m_contentLength == refusal.m_body.size());
    REQUIRE(Field(refusal, "rattanweir-request") == "r-1");
    REQUIRE(Field(refusal, "rattanweir-ran") == row.m_ran);
    REQUIRE(Field(refusal, "Retry-After") == row.m_retryAfter);
    REQUIRE(Field(refusal, "rattanweir-result") == body["code"].asString());
    REQUIRE(body["ran"].asString() == row.m_ran);
    REQUIRE(body["detail"].asString() == row.m_error.what());
    REQUIRE(body.isMember("retry_after_ms") ==
            row.m_error.RetryAfter().has_value());
  }
}

TEST_CASE("a failed stream ends with one event that has the JSON object")
{
  const RequestError error(ResultCode::AnswerIncomplete, "two\n\nlines");
  const std::string event = RefusalEvent(error);
  const std::string start = "event: error\ndata: ";
  REQUIRE(event.starts_with(start));
  REQUIRE(event.find("\n\n") == event.size() - 2);
  REQUIRE(Parsed(event.substr(start.size()))["detail"] == "two\n\nlines");
}

TEST_CASE("a formatted refusal is parsed, an invalid one yields the fallback")
{
  const RequestError error = ParseRefusal(
    R"({"code":302,"name":"x","ran":"yes","retry_after_ms":70,"detail":"d"})",
    ResultCode::PeerLost);
  REQUIRE(error.Code() == ResultCode::NoBackendServer);
  REQUIRE(error.HasRun() == Ran::Yes);
  REQUIRE(error.RetryAfter() == std::chrono::milliseconds(70));
  REQUIRE(error.what() == std::string("d"));
  for (const char* const text : { "",
                                  "{}",
                                  "[]",
                                  R"({"code":1,"ran":"no"})",
                                  R"({"code":0,"ran":"no"})",
                                  R"({"code":302,"ran":"perhaps"})" }) {
    REQUIRE(ParseRefusal(text, ResultCode::PeerLost).Code() ==
            ResultCode::PeerLost);
  }
}

} // namespace
} // namespace rattanweir
