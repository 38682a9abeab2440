#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/platform/internal/directory_reader.h"
#include "rattanweir/connection/platform/internal/service_reader.h"
#include "rattanweir/connection/platform/platform.h"

#include <variant>

namespace rattanweir {
namespace {

struct MakeReader
{
  std::unique_ptr<PlatformReader> operator()(
    const DirectoryPlatform& aSource) const
  {
    return MakeDirectoryReader(aSource, m_options);
  }
  std::unique_ptr<PlatformReader> operator()(
    const ServicePlatform& aSource) const
  {
    return MakeServiceReader(aSource, m_options);
  }

  const PlatformOptions& m_options;
};

} // namespace

Platform::Platform(const PlatformSource& aSource,
                   const PlatformOptions& aOptions)
  : m_reader(std::visit(MakeReader{ aOptions }, aSource))
{
}

Platform::~Platform()
{
  Stop();
}

void
Platform::Start()
{
  m_reader->Start();
}

void
Platform::Stop()
{
  m_reader->Stop();
}

} // namespace rattanweir
