#include "rattanweir/request/pipeline/json_answer.h"

#include <json/json.h>

#include <memory>

namespace rattanweir {
namespace {

constexpr unsigned kOk = 200;

[[noreturn]] void
ThrowMalformed(const std::string& aDetail)
{
  throw RequestError(ResultCode::MalformedRequest, aDetail);
}

} // namespace

std::string
JsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value
RequireJsonObject(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  const char* const begin = aText.data();
  try {
    if (reader->parse(begin, begin + aText.size(), &value, &errors) &&
        value.isObject()) {
      return value;
    }
  } catch (const Json::Exception&) {
    ThrowMalformed("the body is nested too deeply");
  }
  ThrowMalformed("the body is no JSON object");
}

std::string
RequireText(const Json::Value& aObject, const char* aName)
{
  const Json::Value& value = aObject[aName];
  if (!value.isString() || value.asString().empty()) {
    ThrowMalformed(std::string("the body has no text ") + aName);
  }
  return value.asString();
}

Task<void>
WriteJsonAnswer(std::string aText, AnswerSink& aSink)
{
  AnswerHead head{ .m_status = kOk,
                   .m_headers = { { "content-type", "application/json" } },
                   .m_contentLength = aText.size() };
  co_await aSink.WriteHead(std::move(head));
  co_await aSink.WriteChunk(std::move(aText));
  co_await aSink.Finish();
}

} // namespace rattanweir
