#include "skylarkwind/links.h"

#include <cppunit/extensions/HelperMacros.h>
#include <kj/async-io.h>

#include <deque>
#include <vector>

namespace skylarkwind {

namespace {

const std::string kCredential = "credential-of-the-daemons";

member_update
Member(const std::string& aVm, std::uint64_t aStartId)
{
  return { { aVm, aStartId }, { "127.0.0.1:1", "ga-a", "north-ga" }, 3, member_state::Suspect };
}

/// One end: its links and the events that they gave.
struct link_end
{
  link_end(kj::AsyncIoContext& aContext, const std::string& aCredential)
  {
    links_settings settings;
    settings.mAddress = "127.0.0.1:0";
    settings.mCredential = aCredential;
    settings.mAnswerLimit = std::chrono::milliseconds{ 200 };
    auto made = peer_links::Create(settings, aContext, mCounters, [this](event aEvent) {
      mEvents.push_back(std::move(aEvent));
    });
    CPPUNIT_ASSERT(made.ok());
    mLinks = *std::move(made);
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mLinks->Port()); }

  counters mCounters;
  std::deque<event> mEvents;
  std::unique_ptr<peer_links> mLinks;
};

} // namespace

class links_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(links_test);
  CPPUNIT_TEST(CarriesEveryMessageAndReply);
  CPPUNIT_TEST(RefusesAWrongCredential);
  CPPUNIT_TEST(AnswersOnceWhenNobodyListensOrAnswers);
  CPPUNIT_TEST(EndsWithOpenConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { mContext = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo()); }
  void tearDown() override { mContext.reset(); }

private:
  /// Turns the loop until the end has an event of this kind; fails after five seconds.
  template<class kind>
  kind Wait(link_end& aEnd)
  {
    auto& timer = mContext->provider->getTimer();
    const auto limit = timer.now() + 5 * kj::SECONDS;
    while (aEnd.mEvents.empty() && timer.now() < limit) {
      timer.afterDelay(1 * kj::MILLISECONDS).wait(mContext->waitScope);
    }
    CPPUNIT_ASSERT(!aEnd.mEvents.empty());
    auto event = std::move(aEnd.mEvents.front());
    aEnd.mEvents.pop_front();
    CPPUNIT_ASSERT(std::holds_alternative<kind>(event));
    return std::get<kind>(std::move(event));
  }

  static void Send(link_end& aFrom, const std::string& aTo, peer_message aMessage)
  {
    aFrom.mLinks->Send({ { 7 }, aTo, std::move(aMessage), std::chrono::milliseconds{ 1'000 } });
  }

  std::optional<peer_reply> Exchange(link_end& aFrom,
                                     link_end& aTo,
                                     const peer_message& aMessage,
                                     const peer_reply& aReply)
  {
    Send(aFrom, aTo.Address(), aMessage);
    const auto asked = Wait<peer_request_received>(aTo);
    CPPUNIT_ASSERT_EQUAL(aMessage.index(), asked.mMessage.index());
    mReceived = asked.mMessage;
    aTo.mLinks->Answer({ asked.mCall, aReply });
    const auto answered = Wait<peer_response_received>(aFrom);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, answered.mCall.mValue);
    return answered.mReply;
  }

  /// Guards against a field that is lost on the wire.
  void CarriesEveryMessageAndReply()
  {
    link_end one{ *mContext, kCredential };
    link_end two{ *mContext, kCredential };
    const std::vector<member_update> updates{ Member("entry-3", 5), Member("entry-4", 6) };
    const std::vector<document_version> documents{ { "table", 9 } };

    const auto probed = Exchange(one,
                                 two,
                                 probe_message{ Member("entry-1", 1), updates, documents },
                                 probe_reply{ Member("entry-2", 2), updates, documents });
    CPPUNIT_ASSERT(std::get<probe_message>(mReceived).mUpdates == updates);
    CPPUNIT_ASSERT(std::get<probe_message>(mReceived).mSender == Member("entry-1", 1));
    CPPUNIT_ASSERT(std::get<probe_reply>(*probed).mDocuments == documents);

    const auto reached = Exchange(one,
                                  two,
                                  indirect_probe{ Member("entry-1", 1), Member("entry-5", 8) },
                                  indirect_probe_reply{ true });
    CPPUNIT_ASSERT(std::get<indirect_probe>(mReceived).mTarget == Member("entry-5", 8));
    CPPUNIT_ASSERT(std::get<indirect_probe_reply>(*reached).mReached);

    const push_document push{ "table", 4, "{}", { { "127.0.0.1:2", "ga-b", "north-ga" } } };
    const auto pushed = Exchange(one, two, push, document_reply{ "table", 0, "" });
    CPPUNIT_ASSERT(std::get<push_document>(mReceived).mForwardTo == push.mForwardTo);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, std::get<document_reply>(*pushed).mVersion);

    const auto pulled =
      Exchange(one, two, pull_document{ "table", 3 }, document_reply{ "table", 4, "{\"a\":1}" });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, std::get<pull_document>(mReceived).mAfterVersion);
    CPPUNIT_ASSERT_EQUAL(std::string{ "{\"a\":1}" }, std::get<document_reply>(*pulled).mValue);

    const auto claimed =
      Exchange(one, two, claim_message{ 17, "key", "{}" }, claim_reply{ true, "{\"b\":2}" });
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 17 }, std::get<claim_message>(mReceived).mShard);
    CPPUNIT_ASSERT(std::get<claim_reply>(*claimed).mSettled);
    CPPUNIT_ASSERT_EQUAL(std::string{ "{\"b\":2}" }, std::get<claim_reply>(*claimed).mEntry);
  }

  /// Guards against a stranger who pushes a table to the daemons.
  void RefusesAWrongCredential()
  {
    link_end stranger{ *mContext, "another-credential-value" };
    link_end two{ *mContext, kCredential };
    Send(stranger, two.Address(), pull_document{ "table", 0 });
    CPPUNIT_ASSERT(!Wait<peer_response_received>(stranger).mReply.has_value());
    CPPUNIT_ASSERT(two.mEvents.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 },
                         two.mCounters.Get("skylarkwind_peer_refused_total", "").Value());
  }

  /// Guards against a call that is never settled because its peer is gone or silent.
  void AnswersOnceWhenNobodyListensOrAnswers()
  {
    link_end one{ *mContext, kCredential };
    std::string address;
    {
      link_end gone{ *mContext, kCredential };
      address = gone.Address();
    }
    Send(one, address, pull_document{ "table", 0 });
    CPPUNIT_ASSERT(!Wait<peer_response_received>(one).mReply.has_value());

    link_end silent{ *mContext, kCredential };
    Send(one, silent.Address(), pull_document{ "table", 0 });
    const auto asked = Wait<peer_request_received>(silent);
    CPPUNIT_ASSERT(!Wait<peer_response_received>(one).mReply.has_value());
    // An answer after the limit has no effect.
    silent.mLinks->Answer({ asked.mCall, document_reply{} });
    CPPUNIT_ASSERT(one.mEvents.empty());
  }

  /// Guards against a crash of a daemon that stops while others are connected to it: the RPC
  /// system of a connection was destroyed after its network.
  void EndsWithOpenConnections()
  {
    link_end one{ *mContext, kCredential };
    {
      link_end two{ *mContext, kCredential };
      const auto reply = Exchange(one, two, pull_document{ "table", 0 }, document_reply{});
      CPPUNIT_ASSERT(reply.has_value());
    }
    // The other end has gone; the next call fails and a new listener is not confused with it.
    link_end three{ *mContext, kCredential };
    CPPUNIT_ASSERT(Exchange(one, three, pull_document{ "table", 0 }, document_reply{}).has_value());
  }

  std::unique_ptr<kj::AsyncIoContext> mContext;
  peer_message mReceived;
};

CPPUNIT_TEST_SUITE_REGISTRATION(links_test);

} // namespace skylarkwind
