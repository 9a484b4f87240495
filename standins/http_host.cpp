#include "http_host.h"

#include <pistache/http.h>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <vector>

namespace skylarkwind {

namespace {

/// Prompts of long contexts are sent as text, so bodies may be large.
constexpr std::size_t kMaxRequestBytes = 64U << 20U;
/// Pistache's 128 overflowed when 300 calls came at once on a loaded machine; the kernel then drops
/// connection attempts, which takes them at least a second.
constexpr int kBacklog = 4096;

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return std::tolower(aByte);
  });
  return aText;
}

/// Hands the requests of Pistache's parser to the test double.
class host_handler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(host_handler) // NOLINT(readability-identifier-naming)

  explicit host_handler(standin_app& aApp)
    : mApp(&aApp)
  {
    setMaxRequestSize(kMaxRequestBytes);
  }

  void onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aResponse) override
  {
    auto peer = aResponse.getPeer();
    if (!peer) {
      return;
    }
    standin_request request;
    request.mMethod = Pistache::Http::methodString(aRequest.method());
    request.mPath = aRequest.resource();
    for (auto it = aRequest.query().parameters_begin(); it != aRequest.query().parameters_end();
         ++it) {
      request.mQuery[it->first] = it->second;
    }
    for (const auto& [name, raw] : aRequest.headers().rawList()) {
      request.mHeaders[LowerCase(name)] = raw.value();
    }
    request.mBody = aRequest.body();
    request.mConnection = peer->getID();
    try {
      mApp->OnRequest(request, standin_reply{ peer });
    } catch (const std::exception& failure) {
      standin_reply{ peer }.Send(400, std::string{ R"({"error":")" } + failure.what() + "\"}");
    }
  }

  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override
  {
    mApp->OnConnectionClosed(aPeer->getID());
  }

private:
  standin_app* mApp;
};

/// Pistache's transport with a timer descriptor, so that answers can be written step by step on
/// the thread that owns the connections.
class host_transport : public Pistache::Tcp::Transport
{
public:
  host_transport(const std::shared_ptr<Pistache::Tcp::Handler>& aHandler,
                 standin_app& aApp,
                 std::chrono::milliseconds aTick)
    : Transport(aHandler)
    , mHandler(aHandler)
    , mApp(&aApp)
    , mTick(aTick)
  {
  }
  ~host_transport() override
  {
    if (mTimer >= 0) {
      close(mTimer);
    }
  }
  host_transport(const host_transport&) = delete;
  host_transport& operator=(const host_transport&) = delete;

  void registerPoller(Pistache::Polling::Epoll& aPoller) override
  {
    Transport::registerPoller(aPoller);
    mTimer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    itimerspec step{};
    step.it_interval.tv_sec = mTick.count() / 1000;
    step.it_interval.tv_nsec = (mTick.count() % 1000) * 1'000'000;
    step.it_value = step.it_interval;
    timerfd_settime(mTimer, 0, &step, nullptr);
    aPoller.addFd(mTimer,
                  Pistache::Flags<Pistache::Polling::NotifyOn>(Pistache::Polling::NotifyOn::Read),
                  Pistache::Polling::Tag(mTimer));
  }

  void onReady(const Pistache::Aio::FdSet& aReady) override
  {
    using Pistache::Polling::NotifyOn;
    bool ticked = false;
    for (const auto& entry : aReady) {
      if (entry.getTag().value() == static_cast<std::uint64_t>(mTimer)) {
        std::uint64_t count = 0;
        ticked = read(mTimer, &count, sizeof(count)) > 0;
        continue;
      }
      Pistache::Polling::Event event(entry.getTag());
      auto set = [&](bool aOn, NotifyOn aFlag) {
        if (aOn) {
          event.flags.setFlag(aFlag);
        }
      };
      set(entry.isReadable(), NotifyOn::Read);
      set(entry.isWritable(), NotifyOn::Write);
      set(entry.isHangup(), NotifyOn::Hangup);
      // Pistache throws on a write to a peer that has left; one event at a time keeps the others.
      try {
        Transport::onReady(Pistache::Aio::FdSet({ event }));
      } catch (const std::exception& failure) {
        std::cerr << "connection failed: " << failure.what() << "\n";
      }
    }
    if (ticked) {
      mApp->OnTick();
    }
  }

  std::shared_ptr<Pistache::Aio::Handler> clone() const override
  {
    return std::make_shared<host_transport>(mHandler->clone(), *mApp, mTick);
  }

private:
  std::shared_ptr<Pistache::Tcp::Handler> mHandler;
  standin_app* mApp;
  std::chrono::milliseconds mTick;
  int mTimer = -1;
};

std::string_view
ReasonText(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 304:
      return "Not Modified";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

} // namespace

std::string
standin_request::Header(const std::string& aName) const
{
  auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string{} : found->second;
}

std::uint64_t
standin_request::QueryNumber(const std::string& aName, std::uint64_t aDefault) const
{
  auto found = mQuery.find(aName);
  return found == mQuery.end() ? aDefault : std::stoull(found->second);
}

void
standin_reply::Raw(std::string aBytes) const
{
  if (auto peer = mPeer.lock()) {
    auto size = aBytes.size();
    peer->send(Pistache::RawBuffer(std::move(aBytes), size), MSG_NOSIGNAL);
  }
}

void
standin_reply::Send(int aStatus,
                    std::string_view aBody,
                    std::string_view aContentType,
                    std::string_view aHeaderLines) const
{
  std::ostringstream text;
  text << "HTTP/1.1 " << aStatus << ' ' << ReasonText(aStatus) << "\r\n"
       << "Content-Type: " << aContentType << "\r\n"
       << aHeaderLines;
  if (aStatus != 304) {
    text << "Content-Length: " << aBody.size() << "\r\n";
  }
  text << "\r\n" << aBody;
  Raw(text.str());
}

void
standin_reply::BeginStream(std::string_view aHeaderLines) const
{
  Raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
      std::string{ aHeaderLines } + "\r\n");
}

void
standin_reply::Chunk(std::string_view aData) const
{
  std::ostringstream text;
  text << std::hex << aData.size() << "\r\n" << aData << "\r\n";
  Raw(text.str());
}

void
standin_reply::EndStream() const
{
  Raw("0\r\n\r\n");
}

void
standin_reply::Close() const
{
  if (auto peer = mPeer.lock()) {
    shutdown(peer->fd(), SHUT_RDWR);
  }
}

int
RunStandin(const std::string& aListen, standin_app& aApp, std::chrono::milliseconds aTick)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (std::getenv("SKYLARKWIND_EXIT_WITH_PARENT") != nullptr) {
    prctl(PR_SET_PDEATHSIG, SIGTERM);
  }

  Pistache::Tcp::Listener listener;
  auto handler = std::make_shared<host_handler>(aApp);
  listener.init(1,
                Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr) |
                  Pistache::Tcp::Options::NoDelay | Pistache::Tcp::Options::CloseOnExec,
                "",
                kBacklog);
  listener.setTransportFactory(
    [&]() { return std::make_shared<host_transport>(handler, aApp, aTick); });
  listener.setHandler(handler);
  auto colon = aListen.rfind(':');
  auto host = aListen.substr(0, colon);
  listener.bind(Pistache::Address(
    host, Pistache::Port(static_cast<std::uint16_t>(std::stoi(aListen.substr(colon + 1))))));
  listener.runThreaded();
  std::cout << "listening on " << host << ':' << listener.getPort().toString() << std::endl;

  int signal = 0;
  sigwait(&signals, &signal);
  // A test double holds nothing that must be saved; Pistache's shutdown would wait for peers.
  std::cout.flush();
  _exit(0);
}

std::int64_t
SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

} // namespace skylarkwind
