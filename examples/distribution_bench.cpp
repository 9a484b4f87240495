// Measures how an edit of the table spreads and what membership costs, over simulated links and a
// simulated platform. Prints the rows of docs/measurements.md.

#include "../packages/core/tests/document_cluster.h"

#include "skylarkwind/hash.h"

#include <cstdio>
#include <numeric>

namespace skylarkwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 7;
constexpr int kEdits = 5;
constexpr seconds kRest{ 60 };
constexpr milliseconds kLink{ 1 };

object_key
TableKey()
{
  return { "table", "current" };
}

struct figures
{
  double mWorstMs = 0;
  double mMeanMs = 0;
  double mCallsAtRest = 0;
  double mCallsPerEdit = 0;
};

void
Print(const char* aWay, std::size_t aDaemons, const figures& aFigures)
{
  std::printf("%-34s %4zu daemons: in force everywhere after %6.0f ms mean, %6.0f ms worst; "
              "platform calls %7.2f/s at rest, %6.1f per edit\n",
              aWay,
              aDaemons,
              aFigures.mMeanMs,
              aFigures.mWorstMs,
              aFigures.mCallsAtRest,
              aFigures.mCallsPerEdit);
  std::fflush(stdout);
}

/// Daemons that know only the platform: they watch without end, or poll.
class plain_clients
{
public:
  plain_clients(std::size_t aCount, milliseconds aPollEvery)
    : mSeen(aCount)
    , mPollEvery(aPollEvery)
  {
    mPlatform.mSchedule = [this](std::chrono::nanoseconds aAfter, std::function<void()> aAction) {
      mTime.At(aAfter, std::move(aAction));
    };
    mPlatform.mReply = [this](std::size_t aClient, std::uint64_t, call_id, platform_result aBody) {
      mTime.At(kLink, [this, aClient, body = std::move(aBody)] { OnReply(aClient, body); });
    };
    mPlatform.Write(TableKey(), "{}");
    for (std::size_t i = 0; i < aCount; ++i) {
      mTime.At(milliseconds{ mRandom() % 2'000 }, [this, i] { Ask(i); });
    }
  }

  figures Measure()
  {
    figures out;
    mTime.Run(seconds{ 10 });
    const auto before = mPlatform.mCalls;
    mTime.Run(kRest);
    out.mCallsAtRest = static_cast<double>(mPlatform.mCalls - before) / kRest.count();
    for (int i = 0; i < kEdits; ++i) {
      mTime.Run(milliseconds{ mRandom() % 2'000 });
      const auto calls = mPlatform.mCalls;
      const auto start = mTime.mNow;
      mPlatform.Write(TableKey(), "{}");
      const auto version = mPlatform.Find(TableKey())->mVersion;
      while (*std::min_element(mSeen.begin(), mSeen.end()) < version) {
        mTime.Run(milliseconds{ 1 });
      }
      const double took = std::chrono::duration<double, std::milli>(mTime.mNow - start).count();
      out.mWorstMs = std::max(out.mWorstMs, took);
      out.mMeanMs += took / kEdits;
      mTime.Run(seconds{ 5 });
      const double elapsed = std::chrono::duration<double>(mTime.mNow - start).count();
      out.mCallsPerEdit +=
        (static_cast<double>(mPlatform.mCalls - calls) - out.mCallsAtRest * elapsed) / kEdits;
    }
    return out;
  }

private:
  void Ask(std::size_t aClient)
  {
    mTime.At(kLink, [this, aClient] {
      call_platform call;
      if (mPollEvery.count() > 0) {
        call.mOperation = read_object{ TableKey() };
      } else {
        call.mOperation = watch_object{ TableKey(), mSeen[aClient], seconds{ 30 } };
      }
      mPlatform.Call(aClient, 0, call);
    });
  }

  void OnReply(std::size_t aClient, const platform_result& aResult)
  {
    if (const auto* found = std::get_if<object_found>(&aResult)) {
      mSeen[aClient] = found->mVersion;
    }
    mTime.At(mPollEvery, [this, aClient] { Ask(aClient); });
  }

  action_queue mTime;
  document_platform mPlatform;
  std::mt19937_64 mRandom{ kSeed };
  std::vector<std::uint64_t> mSeen;
  milliseconds mPollEvery;
};

// Cap'n Proto pads each text to 8 bytes and adds a pointer of 8 bytes.
std::size_t
Size(const std::string& aText)
{
  return 8 + (aText.size() + 8) / 8 * 8;
}

std::size_t
Size(const daemon_location& aLocation)
{
  return Size(aLocation.mAddress) + Size(aLocation.mDataCentre) + Size(aLocation.mRegion);
}

std::size_t
Size(const member_update& aUpdate)
{
  constexpr std::size_t kNumbersAndPointers = 40;
  return kNumbersAndPointers + Size(aUpdate.mProcess.mVm) + Size(aUpdate.mLocation);
}

template<class probe>
std::size_t
ProbeSize(const probe& aProbe)
{
  auto size = Size(aProbe.mSender);
  for (const auto& update : aProbe.mUpdates) {
    size += Size(update);
  }
  for (const auto& document : aProbe.mDocuments) {
    size += 8 + Size(document.mName);
  }
  return size;
}

/// Estimate of RPC framing and TCP/IP headers for each message.
constexpr std::size_t kFraming = 128;

struct traffic
{
  std::size_t mMembershipMessages = 0;
  std::size_t mMembershipBytes = 0;
  std::size_t mDocumentMessages = 0;
  std::size_t mDocumentBytes = 0;

  void Membership(std::size_t aSize)
  {
    ++mMembershipMessages;
    mMembershipBytes += kFraming + aSize;
  }
  void Document(std::size_t aSize)
  {
    ++mDocumentMessages;
    mDocumentBytes += kFraming + aSize;
  }

  void operator()(const probe_message& aMessage) { Membership(ProbeSize(aMessage)); }
  void operator()(const probe_reply& aReply) { Membership(ProbeSize(aReply)); }
  void operator()(const indirect_probe& aMessage)
  {
    Membership(Size(aMessage.mSender) + Size(aMessage.mTarget));
  }
  void operator()(const indirect_probe_reply& /*aReply*/) { Membership(8); }
  void operator()(const push_document& aPush)
  {
    Document(std::accumulate(
      aPush.mForwardTo.begin(),
      aPush.mForwardTo.end(),
      8 + Size(aPush.mName) + Size(aPush.mValue),
      [](std::size_t aSum, const daemon_location& aTarget) { return aSum + Size(aTarget); }));
  }
  void operator()(const pull_document& aPull) { Document(8 + Size(aPull.mName)); }
  void operator()(const document_reply& aReply)
  {
    Document(8 + Size(aReply.mName) + Size(aReply.mValue));
  }
  void operator()(const claim_message& /*aMessage*/) {}
  void operator()(const claim_reply& /*aReply*/) {}
};

class fleet_bench
{
public:
  fleet_bench(std::size_t aDaemons, std::size_t aDataCentres, std::uint32_t aLossPercent)
    : mFleet(kSeed)
    , mCount(aDaemons)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      const auto dataCentre = i % aDataCentres;
      mFleet.Add("centre-" + std::to_string(dataCentre),
                 "region-" + std::to_string(dataCentre / 3));
    }
    mFleet.mTick = milliseconds{ 20 };
    mFleet.mLinkDelay = kLink;
    mFleet.mLinkJitter = std::chrono::microseconds{ 0 };
    mFleet.mMeasure = true;
    mFleet.mOnMessage = [this](auto, const peer_message& aMessage) {
      std::visit(mTraffic, aMessage);
    };
    mFleet.mOnReply = [this](auto, const peer_reply& aReply) { std::visit(mTraffic, aReply); };
    mFleet.StartAll();
    mFleet.Edit("table");
    for (std::size_t i = 0; i < aDataCentres; ++i) {
      mFleet.Edit("fleet/centre-" + std::to_string(i), i);
    }
    const auto start = mFleet.mTime.mNow;
    const bool agreed = mFleet.RunUntil([&] { return mFleet.MembersAgree(); }, seconds{ 180 });
    std::printf("start of %zu daemons: lists %s after %.1f s\n",
                aDaemons,
                agreed ? "agree" : "DO NOT AGREE",
                std::chrono::duration<double>(mFleet.mTime.mNow - start).count());
    mFleet.mLossPercent = aLossPercent;
    mFleet.mTime.Run(seconds{ 30 }); // the last updates have been sent often enough
  }

  void Rest(const char* aLabel)
  {
    mTraffic = {};
    const auto work = Work();
    const auto calls = mFleet.mPlatform.mCalls;
    mFleet.mTime.Run(kRest);
    const double daemonSeconds = static_cast<double>(mCount) * kRest.count();
    mCallsAtRest = static_cast<double>(mFleet.mPlatform.mCalls - calls) / kRest.count();
    std::printf("membership, %-22s %4zu daemons: %5.2f messages/s and %5.0f bytes/s sent per "
                "daemon; %6.1f us/s of processor time per daemon (%.4f %% of a core)\n",
                aLabel,
                mCount,
                static_cast<double>(mTraffic.mMembershipMessages) / daemonSeconds,
                static_cast<double>(mTraffic.mMembershipBytes) / daemonSeconds,
                (Work() - work) * 1e6 / daemonSeconds,
                (Work() - work) * 100 / daemonSeconds);
  }

  figures Edits()
  {
    figures out;
    out.mCallsAtRest = mCallsAtRest;
    std::mt19937_64 random{ kSeed };
    mTraffic = {};
    mEditWork = 0;
    for (int i = 0; i < kEdits; ++i) {
      mFleet.mTime.Run(milliseconds{ random() % 2'000 });
      const auto calls = mFleet.mPlatform.mCalls;
      const auto start = mFleet.mTime.mNow;
      const auto work = Work();
      mFleet.Edit("table");
      mFleet.RunUntil([&] { return mFleet.InForce("table", mFleet.mNewest["table"]); },
                      seconds{ 60 });
      instant last = start;
      for (auto& each : mFleet.mDaemons) {
        last = std::max(last, each.mInForceSince["table"]);
      }
      mEditWork += Work() - work;
      const double took = std::chrono::duration<double, std::milli>(last - start).count();
      out.mWorstMs = std::max(out.mWorstMs, took);
      out.mMeanMs += took / kEdits;
      mFleet.mTime.Run(seconds{ 5 });
      const double elapsed = std::chrono::duration<double>(mFleet.mTime.mNow - start).count();
      out.mCallsPerEdit +=
        (static_cast<double>(mFleet.mPlatform.mCalls - calls) - out.mCallsAtRest * elapsed) /
        kEdits;
    }
    return out;
  }

  /// Bytes and processor time of one edit of a table of the target size.
  void LargeEdits()
  {
    mFleet.mTableRows = LargeRows();
    const auto took = Edits();
    const double perEdit = static_cast<double>(kEdits) * static_cast<double>(mCount);
    std::printf("table of 600 engines and 450 accounts, %zu bytes: in force everywhere after %.0f "
                "ms worst; %.2f pushes and pulls and %.0f bytes sent per daemon and edit, %.1f ms "
                "of processor time per daemon and edit; at 1,300 edits a day %.0f bytes/s and "
                "%.4f %% of a core\n",
                mFleet.mTableRows.size(),
                took.mWorstMs,
                static_cast<double>(mTraffic.mDocumentMessages) / perEdit / 2,
                static_cast<double>(mTraffic.mDocumentBytes) / perEdit,
                mEditWork * 1e3 / perEdit,
                static_cast<double>(mTraffic.mDocumentBytes) / perEdit * 1'300 / 86'400,
                mEditWork / perEdit * 1'300 / 86'400 * 100);
  }

private:
  double Work() const
  {
    return std::accumulate(
      mFleet.mDaemons.begin(), mFleet.mDaemons.end(), 0.0, [](double aSum, const auto& aDaemon) {
        return aSum + std::chrono::duration<double>(aDaemon.mWork).count();
      });
  }

  static std::string LargeRows()
  {
    std::string engines;
    for (int i = 0; i < 600; ++i) {
      const auto number = std::to_string(i);
      engines += std::string{ i == 0 ? "" : "," } + R"({"name":"engine-)" + number +
                 R"(","address":"10.8.)" + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                 R"(:8000","data_centre":"centre-)" + std::to_string(i % 9) +
                 R"(","service":"draft","model":"m1","role":"decode","checks_fencing":true})";
    }
    std::string accounts;
    for (int i = 0; i < 450; ++i) {
      const auto number = std::to_string(i);
      accounts += std::string{ i == 0 ? "" : "," } + R"({"name":"account-)" + number +
                  R"(","api_key_sha256":")" + Sha256Hex(number) +
                  R"(","max_concurrent":20,"max_requests_per_second":10.5})";
    }
    return R"(,"services":[{"name":"draft"}],"models":[{"name":"m1","service":"draft"}],)"
           R"("engines":[)" +
           engines + R"(],"accounts":[)" + accounts + "]";
  }

  document_cluster mFleet;
  std::size_t mCount;
  traffic mTraffic;
  double mCallsAtRest = 0;
  double mEditWork = 0;
};

void
MeasureAll()
{
  std::printf("seed %llu, %d edits each\n", static_cast<unsigned long long>(kSeed), kEdits);
  for (const auto& [daemons, dataCentres] :
       { std::pair<std::size_t, std::size_t>{ 8, 3 }, { 50, 3 }, { 350, 9 } }) {
    Print(
      "(a) watch in each daemon,", daemons, plain_clients{ daemons, milliseconds{ 0 } }.Measure());
    Print("(b) poll every 2 s,", daemons, plain_clients{ daemons, seconds{ 2 } }.Measure());
    fleet_bench quiet{ daemons, dataCentres, 0 };
    quiet.Rest("no loss,");
    Print("(c) watchers and push, no loss,", daemons, quiet.Edits());
    if (daemons == 350) {
      quiet.LargeEdits();
    }
    fleet_bench lossy{ daemons, dataCentres, 10 };
    lossy.Rest("10 % loss,");
    Print("(c) watchers and push, 10 % loss,", daemons, lossy.Edits());
  }
}

} // namespace
} // namespace skylarkwind

int
main()
{
  skylarkwind::MeasureAll();
  return 0;
}
