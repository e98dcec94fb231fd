#include "src/peer/PeerTransport.h"

#include <utility>

#include "src/codec/PeerCodec.h"

namespace crocuslever {

PeerTransport::PeerTransport(boost::asio::io_context& context, PeerTransportSettings settings, EventSink sink)
    : m_sink(std::move(sink))
    , m_frames(context, std::move(settings), [this](const std::string& sender, const std::string& bytes) { return handleMessage(sender, bytes); })
{
}

Result<void> PeerTransport::handleMessage(const std::string& sender, const std::string& bytes)
{
    Result<PeerMessage> message = decodePeerMessage(bytes);
    if (!message)
        return Error { message.error().code, "peer.receive", sender, message.error().message };
    m_sink(PeerReceived { InstanceId(sender), std::move(message.value()) });
    return boost::outcome_v2::success();
}

Result<void> PeerTransport::open() { return m_frames.open(); }

void PeerTransport::send(const PeerSend& command)
{
    m_frames.send(command.address, command.to.value(), encodePeerMessage(command.message));
}

void PeerTransport::stop() { m_frames.stop(); }

void PeerTransport::setErrorHandler(ErrorHandler handler) { m_frames.setErrorHandler(std::move(handler)); }

std::string PeerTransport::boundAddress() const { return m_frames.boundAddress(); }

const PeerTransportCounters& PeerTransport::counters() const { return m_frames.counters(); }

} // namespace crocuslever
