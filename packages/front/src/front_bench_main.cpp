#include "skylarkwind/front.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Measures the front on loopback: memory for each open stream, and chunks a second through it.
/// Usage: front_bench [streams] [chunks for each stream] [pause between rounds in us]
/// Without a pause, chunks of one stream are joined into larger writes.

namespace skylarkwind {

namespace {

std::size_t
ResidentKilobytes()
{
  std::ifstream status{ "/proc/self/status" };
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoul(line.substr(6));
    }
  }
  return 0;
}

double
CpuSeconds(int aWho)
{
  rusage used{};
  getrusage(aWho, &used);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

int
OpenStream(std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    std::perror("connect");
    std::exit(1);
  }
  const std::string body =
    R"({"model":"m","stream":true,"prompt":")" + std::string(4000, 'p') + "\"}";
  const std::string request =
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
    "\r\n\r\n" + body;
  if (send(descriptor, request.data(), request.size(), 0) != static_cast<ssize_t>(request.size())) {
    std::perror("send");
    std::exit(1);
  }
  return descriptor;
}

/// Reads and discards until every stream has sent its last chunk.
void
ReadAll(const std::vector<int>& aStreams, std::atomic<std::uint64_t>& aBytes)
{
  const int poller = epoll_create1(EPOLL_CLOEXEC);
  for (const int stream : aStreams) {
    epoll_event event{ EPOLLIN, { .fd = stream } };
    epoll_ctl(poller, EPOLL_CTL_ADD, stream, &event);
  }
  constexpr std::string_view kEnd = "\r\n0\r\n\r\n";
  std::vector<char> bytes(65536);
  std::vector<epoll_event> events(256);
  for (std::size_t left = aStreams.size(); left > 0;) {
    const int ready = epoll_wait(poller, events.data(), static_cast<int>(events.size()), 10'000);
    if (ready <= 0) {
      std::cerr << left << " streams did not end\n";
      std::exit(1);
    }
    for (int at = 0; at < ready; ++at) {
      const auto got =
        recv(events[static_cast<std::size_t>(at)].data.fd, bytes.data(), bytes.size(), 0);
      if (got <= 0) {
        std::cerr << "a stream was closed\n";
        std::exit(1);
      }
      aBytes += static_cast<std::uint64_t>(got);
      const std::string_view text{ bytes.data(), static_cast<std::size_t>(got) };
      left -= text.ends_with(kEnd) ? 1 : 0;
    }
  }
  close(poller);
}

void
WaitForEvents(caller_front& aFront)
{
  pollfd waiting{ aFront.WakeFd(), POLLIN, 0 };
  poll(&waiting, 1, 1);
  aFront.Drain();
}

int
Measure(std::size_t aStreams, int aChunks, std::chrono::microseconds aPause)
{
  counters registry;
  std::vector<request_id> arrived;
  front_settings settings;
  settings.mAddress = "127.0.0.1:0";
  settings.mMaxOpenRequests = static_cast<std::uint32_t>(aStreams);
  auto made = caller_front::Create(
    settings,
    registry,
    [&](const event& aEvent) {
      if (const auto* caller = std::get_if<caller_arrived>(&aEvent)) {
        arrived.push_back(caller->mRequest);
      }
    },
    [](const local_request&) { return local_answer{}; });
  if (!made.ok()) {
    std::cerr << made.status() << "\n";
    return 1;
  }
  auto& front = **made;
  const auto before = ResidentKilobytes();
  std::vector<int> streams;
  while (streams.size() < aStreams) {
    streams.push_back(OpenStream(front.Port()));
    WaitForEvents(front);
  }
  while (arrived.size() < aStreams) {
    WaitForEvents(front);
  }
  for (const auto request : arrived) {
    front.Apply(caller_tokens{ request, "token", 1, "resume" });
  }
  const auto after = ResidentKilobytes();
  std::atomic<std::uint64_t> bytes{ 0 };
  double readerCpu = 0;
  std::thread reader{ [&] {
    ReadAll(streams, bytes);
    readerCpu = CpuSeconds(RUSAGE_THREAD);
  } };
  const auto cpuBefore = CpuSeconds(RUSAGE_SELF);
  const auto loopBefore = CpuSeconds(RUSAGE_THREAD);
  const auto start = std::chrono::steady_clock::now();
  const std::string token(60, 'r');
  for (int chunk = 0; chunk < aChunks; ++chunk) {
    for (const auto request : arrived) {
      front.Apply(caller_tokens{ request, "token", 1, token });
    }
    front.Drain();
    if (aPause.count() > 0) {
      std::this_thread::sleep_for(aPause);
    }
  }
  const auto loopCpu = CpuSeconds(RUSAGE_THREAD) - loopBefore;
  for (const auto request : arrived) {
    front.Apply(caller_completed{ request, "stop", {} });
  }
  reader.join();
  const std::chrono::duration<double> whole = std::chrono::steady_clock::now() - start;
  const auto chunks = static_cast<double>(aStreams) * aChunks;
  std::cout << "streams " << aStreams << ", resident KiB for each " << std::fixed
            << static_cast<double>(after - before) / static_cast<double>(aStreams) << "\n"
            << "chunks " << chunks << ", chunks/s " << chunks / whole.count() << ", bytes " << bytes
            << "\n"
            << "CPU us for each chunk: loop thread " << loopCpu / chunks * 1e6
            << ", with Pistache's thread "
            << (CpuSeconds(RUSAGE_SELF) - cpuBefore - readerCpu) / chunks * 1e6 << "\n";
  for (const int stream : streams) {
    close(stream);
  }
  front.Stop();
  return 0;
}

int
Argument(int aArgc, char** aArgv, int aIndex, int aDefault)
{
  int value = aDefault;
  if (aIndex < aArgc) {
    const std::string_view text{ aArgv[aIndex] };
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

} // namespace

} // namespace skylarkwind

int
main(int aArgc, char** aArgv)
{
  return skylarkwind::Measure(
    static_cast<std::size_t>(skylarkwind::Argument(aArgc, aArgv, 1, 400)),
    skylarkwind::Argument(aArgc, aArgv, 2, 1000),
    std::chrono::microseconds{ skylarkwind::Argument(aArgc, aArgv, 3, 0) });
}
