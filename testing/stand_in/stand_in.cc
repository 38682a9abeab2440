#include "testing/stand_in/stand_in.h"

#include <json/reader.h>
#include <json/writer.h>
#include <xxhash.h>

#include <chrono>
#include <iostream>
#include <memory>

namespace rattanweir::testing {

namespace {

constexpr unsigned kVocabularySize = 1u << 20;

} // namespace

std::string
TokenOf(std::string_view aPrompt, std::uint64_t aOffset)
{
  const std::uint64_t hash = XXH64(aPrompt.data(), aPrompt.size(), aOffset);
  return "t" + std::to_string(hash % kVocabularySize) + " ";
}

std::string
TokensOf(std::string_view aPrompt, std::uint64_t aCount)
{
  std::string text;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    text += TokenOf(aPrompt, i);
  }
  return text;
}

Json::Value
ParseJson(const std::string& aText)
{
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(
        aText.data(), aText.data() + aText.size(), &value, &errors)) {
    throw HttpError("text is not valid JSON: " + errors);
  }
  return value;
}

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

std::int64_t
WallMicroseconds()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
PrintRecord(std::string_view aEvent, Json::Value aFields)
{
  static std::mutex mutex;
  aFields["event"] = std::string(aEvent);
  aFields["at_us"] = Json::Int64(WallMicroseconds());
  const std::string line = WriteJson(aFields) + "\n";
  const std::lock_guard lock(mutex);
  std::cout << line << std::flush;
}

void
PrintReceived(const HttpRequest& aRequest)
{
  Json::Value record;
  record["method"] = aRequest.m_method;
  record["target"] = aRequest.m_target;
  record["body"] = aRequest.m_body;
  for (const HttpField& field : aRequest.m_headers) {
    Json::Value pair;
    pair.append(field.m_name);
    pair.append(field.m_value);
    record["headers"].append(pair);
  }
  PrintRecord("received", record);
}

void
Switches::Set(const std::string& aText)
{
  const Json::Value list = ParseJson(aText);
  const std::lock_guard lock(m_mutex);
  for (const Json::Value& entry : list) {
    m_entries[entry["name"].asString()] = {
      .m_value = entry.get("value", 1).asInt64(),
      .m_timesLeft = entry.get("times", -1).asInt64()
    };
  }
}

std::optional<std::int64_t>
Switches::Consume(const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aName);
  if (found == m_entries.end() || found->second.m_timesLeft == 0) {
    return std::nullopt;
  }
  --found->second.m_timesLeft;
  return found->second.m_value;
}

void
RunStandIn(std::uint16_t aPort, Switches& aSwitches, HttpHandler aHandler)
{
  HttpListener listener(aPort);
  Json::Value listening;
  listening["address"] = listener.Address().ToString();
  PrintRecord("listening", listening);
  listener.Serve([&](const HttpRequest& aRequest, HttpResponder& aResponder) {
    if (aRequest.m_target == "/_switch") {
      aSwitches.Set(aRequest.m_body);
      aResponder.Respond(200, {}, "{}");
      return;
    }
    PrintReceived(aRequest);
    aHandler(aRequest, aResponder);
  });
}

} // namespace rattanweir::testing
