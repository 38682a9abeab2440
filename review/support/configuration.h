// The operator's configuration of a case: one host, one client account, and one
// route with its service.

#pragma once

#include <string>

namespace review {

inline constexpr const char* kHost = "gateway.example";
inline constexpr const char* kKey = "key-of-the-account";
inline constexpr const char* kPrefix = "/route/";

struct ConfigurationOptions
{
  unsigned m_version = 1;
  // "idempotent", "non_idempotent" or "streaming".
  std::string m_kind;
  bool m_isResumable = false;
  unsigned m_attempts = 1;
  unsigned m_timeoutMs = 6'000;
};

inline std::string
ConfigurationText(const ConfigurationOptions& aOptions)
{
  return R"({"version":)" + std::to_string(aOptions.m_version) +
         R"(,"routes":[{"name":"route","host":")" + kHost + R"(","prefix":")" +
         kPrefix + R"(","kind":")" + aOptions.m_kind + R"(","timeoutMs":)" +
         std::to_string(aOptions.m_timeoutMs) +
         R"(,"targetLatencyMs":800,"priority":0,"service":"service","attempts":)" +
         std::to_string(aOptions.m_attempts) +
         R"(,"public":false,"sessionAffinity":false,"resumable":)" +
         (aOptions.m_isResumable ? "true" : "false") +
         R"(,"gapTargetMs":400,"homeRegions":[]}],)"
         R"("services":[{"name":"service","healthPath":"/health",)"
         R"("maxConnections":370,"protocol":"h1","tls":false,)"
         R"("coldStartS":0.0,"coldPerS":0.0}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"account","apiKeys":[")" +
         kKey +
         R"("],"unit":"requests","ratePerS":0,"burst":0,"homeRegions":[]}]})";
}

} // namespace review
