// Package operator is the client of a node's admin address that the
// operators' verbs share, with their common flags.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/pkg/classifier"
)

// Client calls one node. It is safe for concurrent use.
// Its errors carry the node's result codes, or classifier.NodeUnreachable.
type Client struct {
	rest *resty.Client
}

// Wire types of the admin address.
type (
	branchesAnswer struct {
		Branches []administrator.Branch `json:"branches"`
	}

	historyAnswer struct {
		Changes []administrator.Change `json:"changes"`
	}

	upstreamsAnswer struct {
		Upstreams []administrator.UpstreamStatus `json:"upstreams"`
	}

	putRequest struct {
		BaseRevision int64  `json:"base_revision"`
		ChangeID     string `json:"change_id"`
		Author       string `json:"author"`
		Content      string `json:"content"`
	}

	undoRequest struct {
		Undone   string `json:"undone_change_id"`
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
	}

	settleRequest struct {
		Author string `json:"author"`
	}

	leaveRequest struct {
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
	}

	errorAnswer struct {
		Error struct {
			Message           string         `json:"message"`
			ResultCode        int            `json:"result_code"`
			Ran               classifier.Ran `json:"ran"`
			RetryAfterSeconds float64        `json:"retry_after_seconds"`
		} `json:"error"`
	}
)

// NodeStatus returns the node's own status.
func (c *Client) NodeStatus(ctx context.Context) (administrator.NodeStatus, error) {
	var answer administrator.NodeStatus
	err := c.call(c.rest.R().SetContext(ctx), resty.MethodGet, "/v1/node/status", &answer)

	return answer, err
}

// Upstreams returns the upstreams that the node knows.
func (c *Client) Upstreams(ctx context.Context) ([]administrator.UpstreamStatus, error) {
	var answer upstreamsAnswer
	err := c.call(c.rest.R().SetContext(ctx), resty.MethodGet, "/v1/node/upstreams", &answer)

	return answer.Upstreams, err
}

// Request returns what is known of a request.
func (c *Client) Request(ctx context.Context, id string) (administrator.RequestStatus, error) {
	var answer administrator.RequestStatus
	err := c.call(c.rest.R().SetContext(ctx).SetPathParam("id", id), resty.MethodGet, "/v1/requests/{id}", &answer)

	return answer, err
}

// Branches returns all branches.
func (c *Client) Branches(ctx context.Context) ([]administrator.Branch, error) {
	var answer branchesAnswer
	err := c.call(c.rest.R().SetContext(ctx), resty.MethodGet, "/v1/tree/branches", &answer)

	return answer.Branches, err
}

// Branch returns one branch, with the origins of its values if explain is set.
func (c *Client) Branch(ctx context.Context, path string, explain bool) (administrator.Branch, error) {
	var answer administrator.Branch

	request := c.rest.R().SetContext(ctx).SetQueryParam("explain", strconv.FormatBool(explain))
	err := c.call(request, resty.MethodGet, branchPath(path), &answer)

	return answer, err
}

// History returns the newest changes of a branch, or of all for path ""; the root is "/".
func (c *Client) History(ctx context.Context, path string, limit int) ([]administrator.Change, error) {
	var answer historyAnswer

	request := c.rest.R().SetContext(ctx).SetQueryParam("path", path).SetQueryParam("limit", strconv.Itoa(limit))
	err := c.call(request, resty.MethodGet, "/v1/tree/history", &answer)

	return answer.Changes, err
}

// Change returns what is known of a change.
func (c *Client) Change(ctx context.Context, id string) (administrator.Change, error) {
	var answer administrator.Change
	err := c.call(c.rest.R().SetContext(ctx).SetPathParam("id", id), resty.MethodGet, "/v1/tree/changes/{id}", &answer)

	return answer, err
}

// Apply writes or deletes a branch and returns the change that was made.
func (c *Client) Apply(ctx context.Context, edit administrator.Edit) (administrator.Change, error) {
	request := c.rest.R().SetContext(ctx)
	names := ChangeFlags{Author: edit.Author, ChangeID: edit.ChangeID}

	if edit.Delete {
		request.SetQueryParams(map[string]string{
			"base_revision": strconv.FormatInt(edit.BaseRevision, 10),
			"change_id":     edit.ChangeID,
			"author":        edit.Author,
		})

		return c.change(ctx, request, resty.MethodDelete, branchPath(edit.Path), names)
	}

	request.SetBody(putRequest{BaseRevision: edit.BaseRevision, ChangeID: edit.ChangeID, Author: edit.Author, Content: edit.Content})

	return c.change(ctx, request, resty.MethodPut, branchPath(edit.Path), names)
}

// Undo takes a change back.
func (c *Client) Undo(ctx context.Context, undo administrator.Undo) (administrator.Change, error) {
	request := c.rest.R().SetContext(ctx).SetBody(undoRequest(undo))

	return c.change(ctx, request, resty.MethodPost, "/v1/tree/undo", ChangeFlags{Author: undo.Author, ChangeID: undo.ChangeID})
}

// Leave takes an upstream out of service.
func (c *Client) Leave(ctx context.Context, service, upstream string, names ChangeFlags) (administrator.Change, error) {
	request := c.rest.R().SetContext(ctx).
		SetPathParams(map[string]string{"service": service, "name": upstream}).
		SetBody(leaveRequest{ChangeID: names.ChangeID, Author: names.Author})

	return c.change(ctx, request, resty.MethodPost, "/v1/upstreams/{service}/{name}/leave", names)
}

// change makes a change. When the answer is lost after the request was sent,
// the change may be in force although the operator sees an error, and a second
// edit would conflict with the first. So the change is settled by its id.
func (c *Client) change(ctx context.Context, request *resty.Request, method, path string, names ChangeFlags) (administrator.Change, error) {
	var answer administrator.Change

	err := c.call(request, method, path, &answer)
	if err == nil || classifier.From(err).Code != classifier.EditUnknown {
		return answer, err
	}

	settled, lookup := c.settle(ctx, names)

	switch {
	case lookup != nil || settled.State == administrator.StateUnknown:
		return answer, classifier.Wrap(err, classifier.EditUnknown, "it is not known whether the change was applied; run the same command again with --change-id %s", names.ChangeID)
	case settled.State == administrator.StateNotApplied:
		return settled, classifier.New(classifier.PlatformUnavailable, "the change was not applied, and will not be; try again")
	}

	return settled, nil
}

func (c *Client) settle(ctx context.Context, names ChangeFlags) (administrator.Change, error) {
	var answer administrator.Change

	request := c.rest.R().SetContext(ctx).SetPathParam("id", names.ChangeID).SetBody(settleRequest{Author: names.Author})
	err := c.call(request, resty.MethodPost, "/v1/tree/changes/{id}/settle", &answer)

	return answer, err
}

func (c *Client) call(request *resty.Request, method, path string, answer any) error {
	response, err := request.Execute(method, path)
	if err != nil {
		return c.transportError(err, method)
	}

	if response.StatusCode() != http.StatusOK {
		return answerError(response)
	}

	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return classifier.Wrap(err, classifier.InternalError, "%s answered something else than a node does; is it an admin address?", c.rest.BaseURL)
	}

	return nil
}

// transportError tells calls that changed nothing from those that may have.
func (c *Client) transportError(err error, method string) error {
	if errors.Is(err, context.Canceled) {
		return err
	}

	var operation *net.OpError

	notSent := errors.As(err, &operation) && operation.Op == "dial"
	if method == resty.MethodGet || notSent {
		return classifier.Wrap(err, classifier.NodeUnreachable, "the node at %s does not answer; name another by --node", c.rest.BaseURL)
	}

	return classifier.Wrap(err, classifier.EditUnknown, "the node at %s broke off during the change", c.rest.BaseURL)
}

func answerError(response *resty.Response) error {
	var answer errorAnswer
	if err := json.Unmarshal(response.Body(), &answer); err != nil || answer.Error.ResultCode == 0 {
		return classifier.New(classifier.InternalError, "the answer is %s and not that of a node's admin address", response.Status())
	}

	reason := strings.TrimSuffix(answer.Error.Message, "\n")
	failure := classifier.New(classifier.Code(answer.Error.ResultCode), "%s", reason)
	failure.Ran = answer.Error.Ran

	return failure.After(time.Duration(answer.Error.RetryAfterSeconds * float64(time.Second)))
}

// Shown returns a branch's path with a slash before it, so that the root is seen as well.
// Paths are taken in either form.
func Shown(path string) string {
	return "/" + strings.TrimPrefix(path, "/")
}

// branchPath escapes each part of a branch's path alone, since the slashes between them are the route's.
func branchPath(path string) string {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, v := range parts {
		parts[i] = url.PathEscape(v)
	}

	return "/v1/tree/branches/" + strings.Join(parts, "/")
}

// baseURL completes an address to a URL.
func baseURL(node string, encrypted bool) (string, error) {
	if !strings.Contains(node, "://") {
		scheme := "http://"
		if encrypted {
			scheme = "https://"
		}

		node = scheme + node
	}

	parsed, err := url.Parse(node)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", classifier.New(classifier.InvalidUsage, "--node is %q; write IP:port or a URL, such as 127.0.0.1:9000", node)
	}

	return strings.TrimSuffix(node, "/"), nil
}
