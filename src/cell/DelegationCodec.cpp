#include "src/cell/DelegationCodec.h"

#include "cell.pb.h"

namespace crocuslever::cell {

namespace wire = crocuslever::cellwire;

static void encodeTarget(const UpstreamTarget& target, std::int64_t token, wire::UpstreamCall& out)
{
    out.set_upstream(target.id);
    out.set_address(target.address);
    out.set_born_ms(target.bornMs);
    out.set_token(token);
}

void encode(const UpstreamPoll& poll, wire::UpstreamCall& out)
{
    out.set_kind(wire::UpstreamCall::POLL);
    encodeTarget(poll.target, poll.token, out);
    out.set_acknowledged(poll.acknowledged);
    // Delegates of earlier versions don't look at the incarnation.
    out.set_on_same_connection(poll.acknowledged > 0);
    out.set_lease_until_ms(poll.leaseUntilMs);
    out.set_wait_ms(toMilliseconds(poll.wait));
}

void encode(const RunStart& order, wire::UpstreamCall& out)
{
    out.set_kind(wire::UpstreamCall::START);
    encodeTarget(order.target, order.token, out);
    out.set_task(order.task);
    out.set_run(order.run);
    out.set_payload(order.payload);
    out.set_lease_until_ms(order.leaseUntilMs);
    out.set_checkpoint(order.checkpoint);
    out.set_advice(order.advice);
}

void encode(const RunStop& order, wire::UpstreamCall& out)
{
    out.set_kind(wire::UpstreamCall::STOP);
    encodeTarget(order.target, order.token, out);
    out.set_task(order.task);
    out.set_run(order.run);
}

void encode(const RunPace& order, wire::UpstreamCall& out)
{
    out.set_kind(wire::UpstreamCall::PACE);
    encodeTarget(order.target, order.token, out);
    out.set_task(order.task);
    out.set_run(order.run);
    out.set_percent(order.percent);
}

std::optional<CellAction> decodeCall(const wire::UpstreamCall& in, Ticket ticket)
{
    UpstreamTarget target { in.upstream(), in.address(), in.born_ms() };
    switch (in.kind()) {
    case wire::UpstreamCall::POLL:
        return UpstreamPoll { ticket, target, in.token(), in.acknowledged(), in.lease_until_ms(), fromMilliseconds(in.wait_ms()) };
    case wire::UpstreamCall::START:
        return RunStart { ticket, target, in.task(), in.run(), in.payload(), in.lease_until_ms(), in.token(), in.checkpoint(), in.advice() };
    case wire::UpstreamCall::STOP:
        return RunStop { ticket, target, in.task(), in.run(), in.token() };
    case wire::UpstreamCall::PACE:
        return RunPace { ticket, target, in.task(), in.run(), in.percent(), in.token() };
    default:
        return std::nullopt;
    }
}

void encode(const PollResult& result, wire::UpstreamAnswer& out)
{
    out.set_outcome(static_cast<int>(result.outcome));
    out.set_clock_ms(result.clockMs);
    out.set_born_ms(result.bornMs);
    for (const RunListing& it : result.running) {
        wire::RunItem& item = *out.add_running();
        item.set_task(it.task);
        item.set_run(it.run);
        item.set_checkpoint(it.checkpoint);
        item.set_percent(it.percent);
        item.set_gauge(it.gauge);
    }
    for (const EndListing& it : result.ended) {
        wire::EndItem& item = *out.add_ended();
        item.set_number(it.number);
        item.set_task(it.task);
        item.set_run(it.run);
        item.set_how(static_cast<int>(it.how));
        item.set_checkpoint(it.checkpoint);
    }
}

void encode(const OrderResult& result, wire::UpstreamAnswer& out)
{
    out.set_outcome(static_cast<int>(result.outcome));
    out.set_clock_ms(result.clockMs);
}

/// An outcome of a newer version is taken for none: the call may have been executed.
static OrderOutcome decodeOutcome(int outcome)
{
    bool isKnown = outcome >= 0 && outcome <= static_cast<int>(OrderOutcome::NoAnswer);
    return isKnown ? static_cast<OrderOutcome>(outcome) : OrderOutcome::NoAnswer;
}

static bool isRunEnd(int how) { return how >= 0 && how <= static_cast<int>(RunEnd::GangTimeout); }

PollResult decodePollResult(const wire::UpstreamAnswer& in, Ticket ticket)
{
    PollResult result;
    result.ticket = ticket;
    result.outcome = decodeOutcome(in.outcome());
    result.clockMs = in.clock_ms();
    result.bornMs = in.born_ms();
    for (const wire::RunItem& it : in.running())
        result.running.push_back({ it.task(), it.run(), it.checkpoint(), it.percent(), it.gauge() });
    for (const wire::EndItem& it : in.ended()) {
        // Without one end the others would be acknowledged in its place.
        if (!isRunEnd(it.how()))
            result.outcome = OrderOutcome::NoAnswer;
        else
            result.ended.push_back({ it.number(), it.task(), it.run(), static_cast<RunEnd>(it.how()), it.checkpoint() });
    }
    return result;
}

OrderResult decodeOrderResult(const wire::UpstreamAnswer& in, Ticket ticket)
{
    return { ticket, decodeOutcome(in.outcome()), in.clock_ms() };
}

} // namespace crocuslever::cell
