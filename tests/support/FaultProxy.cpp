#include "tests/support/FaultProxy.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace crocuslever::testing {

using nlohmann::json;

static const std::string kLinkPath = "/link/";

FaultProxy::FaultProxy(boost::asio::io_context& io, const std::string& address, unsigned short controlPort)
    : m_io(io)
    , m_address(address)
    , m_control(io, address, controlPort)
{
    m_control.route("PUT", kLinkPath, [this](const ExchangePtr& exchange) { setLink(exchange); });
    m_control.route("GET", "/stats", [this](const ExchangePtr& exchange) { showStats(exchange); });
}

unsigned short FaultProxy::addLink(unsigned short listenPort, unsigned short targetPort)
{
    std::unique_ptr<FaultLink> link = std::make_unique<FaultLink>(m_io, m_address, listenPort, targetPort);
    unsigned short port = link->port();
    m_links[port] = std::move(link);
    return port;
}

FaultLink* FaultProxy::findLink(unsigned short listenPort)
{
    auto it = m_links.find(listenPort);
    return it == m_links.end() ? nullptr : it->second.get();
}

static std::optional<LinkFault> readFault(const std::string& body)
{
    json value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("mode") || !value["mode"].is_string())
        return std::nullopt;
    std::optional<LinkMode> mode = parseLinkMode(value["mode"].get<std::string>());
    json delay = value.contains("delay_ms") ? value["delay_ms"] : json(0);
    if (!mode || !delay.is_number_unsigned())
        return std::nullopt;
    return LinkFault { *mode, fromMilliseconds(delay.get<std::int64_t>()) };
}

void FaultProxy::setLink(const ExchangePtr& exchange)
{
    FaultLink* link = findLink(static_cast<unsigned short>(std::atoi(exchange->request().target.c_str() + kLinkPath.size())));
    std::optional<LinkFault> fault = readFault(exchange->request().body);
    if (!link) {
        exchange->reply(404, R"({"error":"no link listens on this port"})");
        return;
    }
    if (!fault) {
        exchange->reply(400, R"({"error":"mode must be pass, cut, freeze, reset or drop-answers; delay_ms an unsigned integer"})");
        return;
    }
    link->setFault(*fault);
    exchange->reply(200, "{}");
}

static json toJson(const FaultLink& link)
{
    LinkStats stats = link.stats();
    return { { "mode", toString(link.fault().mode) }, { "delay_ms", toMilliseconds(link.fault().delay) },
        { "accepted", stats.accepted }, { "open", stats.open }, { "bytes_forward", stats.bytesForward },
        { "bytes_back", stats.bytesBack }, { "bytes_lost", stats.bytesLost } };
}

void FaultProxy::showStats(const ExchangePtr& exchange)
{
    json stats = json::object();
    for (const auto& [port, link] : m_links)
        stats[std::to_string(port)] = toJson(*link);
    exchange->reply(200, stats.dump());
}

} // namespace crocuslever::testing
