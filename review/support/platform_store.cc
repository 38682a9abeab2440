#include "review/support/platform_store.h"

#include <charconv>
#include <thread>

namespace review {
namespace {

using std::chrono::milliseconds;

std::string
EncodeBase64(const std::string& aBytes)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kSixBits = 0x3F;
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      const bool isInside = at + index < aBytes.size();
      group = (group << 8U) |
              (isInside ? static_cast<unsigned char>(aBytes[at + index]) : 0U);
    }
    for (unsigned index = 0; index < 4; ++index) {
      text += kDigits[(group >> (18U - 6U * index)) & kSixBits];
    }
  }
  const std::size_t padding = (3 - aBytes.size() % 3) % 3;
  return text.substr(0, text.size() - padding) + std::string(padding, '=');
}

// Returns the value of a query parameter, or an empty text. The stand-in's own
// keys need no decoding beyond the slash.
std::string
Parameter(const std::string& aTarget, const std::string& aName)
{
  const std::size_t found = aTarget.find(aName + "=");
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t start = found + aName.size() + 1;
  std::string value = aTarget.substr(start, aTarget.find('&', start) - start);
  for (std::size_t at = value.find("%2F"); at != std::string::npos;
       at = value.find("%2F")) {
    value.replace(at, 3, "/");
  }
  return value;
}

std::uint64_t
NumberParameter(const std::string& aTarget, const std::string& aName)
{
  const std::string text = Parameter(aTarget, aName);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

PlatformStore::PlatformStore()
  : m_listener(Address{})
{
  std::thread([this] { Accept(); }).detach();
}

void
PlatformStore::Put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(m_mutex);
  ++m_revision;
  const std::string revision = std::to_string(m_revision);
  std::string item = R"({"key":")" + aKey + R"(","value":")" +
                     EncodeBase64(aValue) + R"(","revision":)" + revision +
                     R"(,"created":)" + revision + R"(,"lease":0})";
  m_items[aKey] = item;
  Append(aKey, std::move(item));
}

void
PlatformStore::Remove(const std::string& aKey)
{
  const std::lock_guard lock(m_mutex);
  if (m_items.erase(aKey) == 0) {
    return;
  }
  ++m_revision;
  Append(aKey,
         R"({"key":")" + aKey + R"(","revision":)" +
           std::to_string(m_revision) + R"(,"tombstone":true})");
}

void
PlatformStore::Append(const std::string& aKey, std::string aItem)
{
  m_events.push_back(
    { .m_key = aKey, .m_item = std::move(aItem), .m_revision = m_revision });
  m_changed.notify_all();
}

void
PlatformStore::Accept()
{
  for (;;) {
    std::thread([this](Socket aSocket) { Serve(std::move(aSocket)); },
                m_listener.Accept())
      .detach();
  }
}

void
PlatformStore::Serve(Socket aSocket)
{
  Connection connection(std::move(aSocket));
  for (;;) {
    const auto request =
      connection.ReadRequest(SteadyClock::now() + std::chrono::minutes(5));
    if (!request) {
      return;
    }
    const std::string body = Answer(request->m_target);
    const std::string status = body.empty() ? "404 Not Found" : "200 OK";
    const std::string head = "HTTP/1.1 " + status +
                             "\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n";
    if (!connection.Write(head) || !connection.Write(body)) {
      return;
    }
  }
}

std::string
PlatformStore::Answer(const std::string& aTarget)
{
  if (aTarget.starts_with("/api/kv-range")) {
    return Range(Parameter(aTarget, "prefix"));
  }
  if (aTarget.starts_with("/api/kv-watch")) {
    return Watch(Parameter(aTarget, "prefix"),
                 NumberParameter(aTarget, "after"),
                 milliseconds(NumberParameter(aTarget, "waitMs")));
  }
  return "";
}

std::string
PlatformStore::Range(const std::string& aPrefix)
{
  const std::lock_guard lock(m_mutex);
  std::string items;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(aPrefix)) {
      items.append(items.empty() ? "" : ",").append(item);
    }
  }
  return R"({"items":[)" + items + R"(],"truncated":false,"at":)" +
         std::to_string(m_revision) + "}";
}

std::string
PlatformStore::Watch(const std::string& aPrefix,
                     std::uint64_t aAfter,
                     milliseconds aWait)
{
  const SteadyTime end = SteadyClock::now() + aWait;
  std::unique_lock lock(m_mutex);
  for (;;) {
    std::string events;
    for (const Event& event : m_events) {
      if (event.m_revision > aAfter && event.m_key.starts_with(aPrefix)) {
        events.append(events.empty() ? "" : ",").append(event.m_item);
      }
    }
    if (!events.empty() ||
        m_changed.wait_until(lock, end) == std::cv_status::timeout) {
      return R"({"events":[)" + events + R"(],"at":)" +
             std::to_string(m_revision) + "}";
    }
  }
}

} // namespace review
