import { Failure } from '@laburnumstream/common';
import { request } from 'undici';

/** Body of an error response of the administration API. */
interface FailureBody {
  readonly error?: { readonly type?: string; readonly message?: string };
}

function createUnreachableFailure(
  baseUrl: string,
  body: object | undefined,
  error: unknown,
): Failure {
  const { changeId } = (body ?? {}) as { readonly changeId?: string };
  const advice = changeId
    ? `; it is unknown whether the change was accepted: resend it with --change-id ${changeId}`
    : '';
  return new Failure('unreachable', `${baseUrl} gave no answer (${String(error)})${advice}`);
}

/** Client of an entry's administration API. */
export class OperatorClient {
  constructor(
    private readonly baseUrl: string,
    private readonly token: string,
  ) {}

  /** Sends a request; throws the failure described by an error response. */
  async call(method: 'GET' | 'POST' | 'DELETE', path: string, body?: object): Promise<unknown> {
    const { statusCode, body: response } = await request(`${this.baseUrl}/admin/v1/${path}`, {
      method,
      headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
      body: body ? JSON.stringify(body) : null,
    }).catch((error: unknown) => {
      throw createUnreachableFailure(this.baseUrl, body, error);
    });
    const value = await response.json().catch((error: unknown) => {
      throw createUnreachableFailure(this.baseUrl, body, error);
    });
    if (statusCode === 200) return value;
    const { error } = value as FailureBody;
    const message = error?.message ?? `HTTP status ${statusCode}`;
    throw new Failure(error?.type ?? 'unknown', message, { status: statusCode });
  }
}
