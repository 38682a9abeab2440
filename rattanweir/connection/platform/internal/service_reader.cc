#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/back_off/back_off.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/platform/internal/read_results.h"
#include "rattanweir/connection/platform/internal/service_reader.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"
#include "rattanweir/version/yaml/load.h"

#include <algorithm>
#include <utility>

namespace rattanweir {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotModified = 304;
// Time added to the watch time to obtain the deadline of a request.
constexpr auto kResponseMargin = std::chrono::seconds(5);

// The result of one long-polling request.
struct WatchResponse
{
  // True if the service had nothing newer until the watch time elapsed; the
  // other fields are then unused.
  bool m_isUnchanged = false;
  // Section version or list revision, from the response header.
  std::string m_revision;
  std::string m_text;
};

// Thrown if the service's response can't be used.
class ReadError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

class ServiceReader : public std::enable_shared_from_this<ServiceReader>
{
public:
  ServiceReader(const ServicePlatform& aSource, const PlatformOptions& aOptions)
    : m_source(aSource)
    , m_options(aOptions)
    , m_random(RandomNumber())
    , m_upstream(
        { .m_executor = aOptions.m_executor, .m_clock = aOptions.m_clock })
  {
  }

  void Start()
  {
    for (const SectionKind kind : kAllSectionKinds) {
      Spawn(
        [self = shared_from_this(), kind] { return self->WatchSection(kind); },
        "section " + SectionName(kind));
    }
    Spawn([self = shared_from_this()] { return self->WatchInstanceList(); },
          "instance list");
  }

  void Stop() { m_cancel.Cancel(ResultCode::InstanceDraining); }

private:
  // Sends one long-polling request and applies the result. Throws if the
  // request fails or the response is invalid.
  using WatchOnce = std::function<Task<void>()>;

  void Spawn(WatchOnce aWatchOnce, std::string aSourceName)
  {
    asio::co_spawn(m_options.m_executor,
                   RunWatchLoop(shared_from_this(),
                                std::move(aWatchOnce),
                                std::move(aSourceName)),
                   asio::detached);
  }

  static Task<void> RunWatchLoop(std::shared_ptr<ServiceReader> aSelf,
                                 WatchOnce aWatchOnce,
                                 std::string aSourceName);
  Task<void> WatchSection(SectionKind aKind);
  Task<void> WatchInstanceList();
  Task<WatchResponse> Watch(Endpoint aEndpoint,
                            std::string aTarget,
                            std::string aRevisionHeader);
  Task<std::string> ReadBody(UpstreamExchange& aExchange);
  std::string WaitParameter() const
  {
    return "&wait=" + std::to_string(m_options.m_watchTimeout.count()) + "s";
  }

  ServicePlatform m_source;
  PlatformOptions m_options;
  RandomEngine m_random;
  HttpUpstream m_upstream;
  CancelSource m_cancel;
  std::string m_listRevision;
};

Task<void>
ServiceReader::RunWatchLoop(std::shared_ptr<ServiceReader> aSelf,
                            WatchOnce aWatchOnce,
                            std::string aSourceName)
{
  const PlatformOptions& options = aSelf->m_options;
  BackOff backOff(
    aSelf->m_random, options.m_initialBackOff, options.m_maxBackOff);
  while (!aSelf->m_cancel.Reason()) {
    std::string failure;
    try {
      co_await aWatchOnce();
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (failure.empty()) {
      backOff.Reset();
    } else if (!aSelf->m_cancel.Reason()) {
      ReportReadFailure(options, aSourceName, failure);
      co_await WaitFor(options.m_executor, backOff.Next(), aSelf->m_cancel);
    }
  }
}

Task<std::string>
ServiceReader::ReadBody(UpstreamExchange& aExchange)
{
  std::string text;
  for (;;) {
    const std::optional<std::string> chunk = co_await aExchange.ReadChunk();
    if (!chunk) {
      co_return text;
    }
    text += *chunk;
    if (text.size() > kMaximumTextBytes) {
      throw ReadError("response body exceeds " +
                      std::to_string(kMaximumTextBytes) + " bytes");
    }
  }
}

Task<WatchResponse>
ServiceReader::Watch(Endpoint aEndpoint,
                     std::string aTarget,
                     std::string aRevisionHeader)
{
  OutboundRequest request{ .m_method = "GET", .m_target = std::move(aTarget) };
  request.m_deadline =
    m_options.m_clock.SteadyNow() + m_options.m_watchTimeout + kResponseMargin;
  const auto exchange =
    co_await m_upstream.Send(aEndpoint, std::move(request), m_cancel);
  const ResponseHead head = co_await exchange->ReadHead();
  WatchResponse response;
  response.m_text = co_await ReadBody(*exchange);
  response.m_isUnchanged = head.m_status == kHttpNotModified;
  if (response.m_isUnchanged) {
    co_return response;
  }
  const std::string* revision = FindHeader(head.m_headers, aRevisionHeader);
  if (head.m_status != kHttpOk || revision == nullptr) {
    throw ReadError(
      "HTTP status " + std::to_string(head.m_status) +
      (revision == nullptr ? " without header " + aRevisionHeader : ""));
  }
  response.m_revision = *revision;
  co_return response;
}

Task<void>
ServiceReader::WatchSection(SectionKind aKind)
{
  std::string target = "/v1/sections/" + SectionName(aKind);
  const SectionStatus status = m_options.m_catalog.Status(aKind);
  // Reading a rejected version again would only reject it again.
  const auto known = std::max(status.m_inForce, status.m_rejected);
  if (known) {
    target += "?newer_than=" + std::to_string(known->Value()) + WaitParameter();
  }
  const std::string name = SectionName(aKind) + " of the configuration service";
  const WatchResponse response =
    co_await Watch(m_source.m_configurationService, target, "section-version");
  if (response.m_isUnchanged) {
    co_return;
  }
  const auto version = ParseDecimal(response.m_revision);
  if (!version) {
    throw ReadError("header section-version is not a number");
  }
  const SectionOffer offer{ .m_kind = aKind,
                            .m_version = SectionVersion(*version),
                            .m_text = { .m_file = name,
                                        .m_text = response.m_text } };
  if (known && offer.m_version <= *known) {
    throw ReadError("service has no version newer than " + response.m_revision);
  }
  // A peer may have relayed this version during the request. The catalog then
  // reports that the offer is not newer, which is not an error.
  OfferSection(m_options, offer);
}

Task<void>
ServiceReader::WatchInstanceList()
{
  std::string target = "/v1/instances";
  if (!m_listRevision.empty()) {
    target += "?changed_from=" + m_listRevision + WaitParameter();
  }
  WatchResponse response =
    co_await Watch(m_source.m_instanceList, target, "list-revision");
  if (response.m_isUnchanged) {
    co_return;
  }
  if (response.m_revision == m_listRevision) {
    throw ReadError("service returned the known list revision again");
  }
  m_listRevision = std::move(response.m_revision);
  const SectionText text{ .m_file = "instance list service",
                          .m_text = std::move(response.m_text) };
  ApplyInstanceList(m_options, text);
}

class ServicePlatformReader final : public PlatformReader
{
public:
  ServicePlatformReader(const ServicePlatform& aSource,
                        const PlatformOptions& aOptions)
    : m_reader(std::make_shared<ServiceReader>(aSource, aOptions))
  {
  }

  void Start() override { m_reader->Start(); }
  void Stop() override { m_reader->Stop(); }

private:
  std::shared_ptr<ServiceReader> m_reader;
};

} // namespace

std::unique_ptr<PlatformReader>
MakeServiceReader(const ServicePlatform& aSource,
                  const PlatformOptions& aOptions)
{
  return std::make_unique<ServicePlatformReader>(aSource, aOptions);
}

} // namespace rattanweir
