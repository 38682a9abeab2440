#include "review/support/case.h"

#include "review/support/configuration.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

CaseArguments
ParseArguments(int aCount, char** aArguments)
{
  CaseArguments arguments;
  for (int index = 1; index + 1 < aCount; index += 2) {
    const std::string name = aArguments[index];
    const std::string value = aArguments[index + 1];
    if (name == "--program") {
      arguments.m_program = value;
    } else if (name == "--folder") {
      arguments.m_folder = value;
    } else if (name == "--record") {
      arguments.m_record = value;
    }
  }
  const char* trouble = std::getenv("TROUBLE");
  arguments.m_hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

} // namespace

void
RunCase(int aCount,
        char** aArguments,
        const std::function<bool(const CaseArguments&, Record&)>& aCase)
{
  const CaseArguments arguments = ParseArguments(aCount, aArguments);
  // Lives until the process ends, as the threads of the stand-ins do.
  static Record record(arguments.m_record);
  int code = kNotRun;
  try {
    const bool hasHeld = aCase(arguments, record);
    record.Write(hasHeld ? "the rule held" : "the rule was broken");
    code = hasHeld ? kHeld : kBroken;
  } catch (const std::exception& error) {
    record.Write(std::string("the case could not run: ") + error.what());
  }
  std::_Exit(code);
}

InstanceOptions
MakeInstanceOptions(const std::string& aName,
                    const std::string& aRegion,
                    const CaseArguments& aArguments,
                    const Address& aStore,
                    Record& aRecord)
{
  return { .m_name = aName,
           .m_region = aRegion,
           .m_zone = aRegion + "-a",
           .m_zones = { { "ostland-a", "ostland" },
                        { "vestland-a", "vestland" },
                        { "nordland-a", "nordland" } },
           .m_store = aStore,
           .m_program = aArguments.m_program,
           .m_folder = aArguments.m_folder,
           .m_record = aRecord };
}

std::string
RequestText(const ClientRequest& aRequest)
{
  std::string text =
    aRequest.m_method + " " + kPrefix + "item HTTP/1.1\r\nHost: " + kHost +
    "\r\nRattanweir-Request-Id: " + aRequest.m_id +
    "\r\nRattanweir-Model: m\r\nRattanweir-Token-Counts: " +
    std::to_string(aRequest.m_promptTokens) +
    ",80\r\nRattanweir-Deadline-Ms: " + std::to_string(aRequest.m_deadlineMs) +
    "\r\nRattanweir-Credential: " + kKey + "\r\n";
  if (aRequest.m_lastEvent > 0) {
    text += "Last-Event-Id: " + std::to_string(aRequest.m_lastEvent) + "\r\n";
  }
  if (!aRequest.m_isChunked) {
    return text + "Content-Length: " + std::to_string(aRequest.m_body.size()) +
           "\r\n\r\n" + aRequest.m_body;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunkBytes = 0x10000;
  for (std::size_t at = 0; at < aRequest.m_body.size(); at += kChunkBytes) {
    text += ChunkOf(aRequest.m_body.substr(at, kChunkBytes));
  }
  return text + "0\r\n\r\n";
}

Address
Resolve(const Address& aDirectory, const std::string& aRegion)
{
  const auto response = Get(aDirectory,
                            std::string("/api/resolve?name=") + kHost +
                              "&region=" + aRegion + "&zone=" + aRegion + "-a",
                            SteadyClock::now() + std::chrono::seconds(1));
  const std::string text = response ? response->m_body : "";
  const std::size_t start = text.find("\"127.");
  const std::size_t colon = text.find(':', start);
  if (!response || response->m_status != 200 || start == std::string::npos ||
      colon == std::string::npos) {
    throw CannotRun("the directory names no instance");
  }
  return { .m_ip = text.substr(start + 1, colon - start - 1),
           .m_port = static_cast<std::uint16_t>(
             std::strtoul(text.c_str() + colon + 1, nullptr, 10)) };
}

std::string
Describe(const std::optional<Response>& aResponse)
{
  if (!aResponse) {
    return "connection closed without an answer";
  }
  const bool isSealed =
    FindHeader(aResponse->m_headers, "Rattanweir-Response-Seal") != nullptr;
  return std::to_string(aResponse->m_status) +
         (isSealed ? " of a runner, " : " of the gateway, ") +
         std::to_string(aResponse->m_body.size()) + " bytes, " +
         (aResponse->m_isComplete ? "complete" : "cut off");
}

} // namespace review
