import { Execution } from '@laburnumstream/common';
import { classifyResponse, misdirectedStatus } from '@laburnumstream/decisions';
import type { Exchange } from '../callers/exchange.js';
import { EndpointCall, isSuccess } from '../endpoints/endpointCall.js';
import type { CallObserver, CallRequest } from '../endpoints/endpointCall.js';
import type { EndpointHandle } from '../endpoints/endpointHandle.js';
import { recordPace, reportWindow } from '../endpoints/paceRecorder.js';
import type { Attempt } from './attempt.js';
import { AttemptLoad } from './attemptLoad.js';
import type { AttemptServices } from './attemptServices.js';
import { AttemptTiming } from './attemptTiming.js';
import { OutdatedUse } from './outdatedUse.js';
import { recordForeignResponse, recordHead } from './responseRecorder.js';

/** How one attempt at a request is made. */
export interface AttemptOptions {
  readonly observer: CallObserver;
  /** Id of the event after which a stream is resumed; undefined to start it. */
  readonly lastEventId: number | undefined;
  /** Longest idle time of a connection on which it is sent, in milliseconds. */
  readonly maxIdleMs: number;
  /** Whether the caller has received a part of the response. */
  readonly isBegun: boolean;
}

function createCallRequest(
  exchange: Exchange,
  { codec, clock }: AttemptServices,
  endpointId: string,
  lastEventId: number | undefined,
): CallRequest {
  const { request, head, route, workspace, body, deadlineAt } = exchange;
  const headers = codec.encodeRequestHeaders(request.rawHeaders, {
    timeLeftMs: deadlineAt - clock.now(),
    endpointId,
    stripsKey: exchange.hasKeys,
    workspace: workspace?.name,
    lastEventId,
    priority: workspace?.priority ?? route.priority,
    weightsVersion: undefined,
  });
  const { method = 'GET', url = '/' } = request;
  return { method, path: url, id: head.id, headers, body };
}

/** Sends a request to an endpoint and counts it in the endpoint's load until it has ended. */
export function sendAttempt(
  exchange: Exchange,
  services: AttemptServices,
  handle: EndpointHandle,
  { observer, lastEventId, maxIdleMs, isBegun }: AttemptOptions,
): Attempt {
  const { id, promptTokens = 0 } = exchange.head;
  const { codec, clock, queue, guard, directory, adaptive, metrics, log } = services;
  const { service } = exchange;
  const use = new OutdatedUse(id, handle, directory.startBounds, clock, metrics, log);
  const prefillMs = handle.model?.prefillMs(promptTokens) ?? 0;
  const heldTokens = handle.memory?.neededTokens(exchange.head);
  const load = new AttemptLoad(handle, prefillMs, services.onLoadChange, heldTokens);
  handle.adapt(adaptive.has(service));
  let timing: AttemptTiming | undefined;
  const recordAnswer = (): void => {
    const endpoints = directory.forService(service);
    endpoints.forEach((endpoint) => endpoint.adapt(adaptive.has(service)));
    timing?.recordAnswer(endpoints);
    reportWindow(services, handle, clock.now());
  };
  let isTaken = false;
  const call = new EndpointCall(
    handle.pool,
    createCallRequest(exchange, services, handle.id, lastEventId),
    maxIdleMs,
    codec,
    observer,
    (status, head) => {
      const { execution } = classifyResponse({ status, ...head });
      isTaken = isSuccess(status) && execution !== Execution.notRun;
      if (isBegun && (isTaken || execution === Execution.notRun))
        handle.begunAdmission.recordResult(isTaken, clock.now());
      if (status !== misdirectedStatus) recordPace(services, handle, head, clock.now());
      // An engine may send the head of a response long before the first event.
      if (isTaken && !handle.model) recordAnswer();
      recordHead(services, handle, status, head);
    },
    () => {
      const maySend = directory.maySend(handle);
      if (maySend) use.recordSend();
      return maySend;
    },
    (responseId) => recordForeignResponse(services, handle, id, responseId),
  );
  const markPrefilled = (): void => {
    if (!load.hasPrefilled) {
      use.recordFirstEvent();
      recordAnswer();
    }
    load.markPrefilled();
  };
  const markEnded = (): void => {
    services.waitingCalls.remove(call);
    if (!load.end()) return;
    if (isTaken) handle.begunAdmission.recordDeparture();
    reportWindow(services, handle, clock.now());
    queue.dispatch(service, handle);
  };
  guard.recordSend(exchange);
  load.start();
  timing = new AttemptTiming(handle, promptTokens, prefillMs, clock);
  call.start();
  services.waitingCalls.add(call, handle);
  return { handle, call, markPrefilled, markEnded };
}
