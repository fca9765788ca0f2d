// What the stand-ins of engines and of the origin share.
export const model = 'daka510000';
export const pieces = 48;
export const pieceBytes = 49_152;
export const layers = 16;

/** Listens on a free port of a loopback address and resolves with IP:PORT. */
export function listen(server, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

export function sendJson(response, status, value) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}
