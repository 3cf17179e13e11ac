package tlsreload_test

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocusreel/crocusreel/internal/testcert"
	"github.com/crocusreel/crocusreel/internal/tlsreload"
	"github.com/crocusreel/crocusreel/peer"
	"github.com/crocusreel/crocusreel/settings"
)

func TestTLSReload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsreload")
}

func newAuthority(name string) *testcert.Authority {
	a, err := testcert.NewAuthority(name)
	Expect(err).NotTo(HaveOccurred())
	return a
}

func newFiles() settings.TLS { return testcert.Files(GinkgoT().TempDir()) }

// startServer starts a server that returns the name of the authority of the client certificate in
// the header Client. It returns the URL of the server.
func startServer(s *tlsreload.Source) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Client", r.TLS.PeerCertificates[0].Issuer.CommonName)
	}), nil)
	go server.Serve(s.Listener(l))
	DeferCleanup(server.Close)
	return "https://" + l.Addr().String()
}

func newSource(files settings.TLS) *tlsreload.Source {
	s, err := tlsreload.New(files)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// call makes one request on a new connection.
func call(s *tlsreload.Source, url string) (*http.Response, error) {
	client := s.HTTPClient()
	defer client.CloseIdleConnections()
	res, err := client.Get(url)
	if err == nil {
		res.Body.Close()
	}
	return res, err
}

var _ = Describe("Certificates of peers", func() {
	It("are required on both sides, and HTTP/2 is negotiated", func() {
		a, b := newAuthority("a"), newAuthority("b")
		serverFiles, clientFiles, strangerFiles := newFiles(), newFiles(), newFiles()
		Expect(a.Issue(serverFiles, "127.0.0.1", a)).To(Succeed())
		Expect(a.Issue(clientFiles, "127.0.0.1", a)).To(Succeed())
		Expect(b.Issue(strangerFiles, "127.0.0.1", a)).To(Succeed())
		url := startServer(newSource(serverFiles))

		res, err := call(newSource(clientFiles), url)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.ProtoMajor).To(Equal(2))
		Expect(res.Header.Get("Client")).To(Equal("a"))

		_, err = call(newSource(strangerFiles), url)
		Expect(err).To(HaveOccurred())
	})

	// The certificate of a peer was issued for another VM. If it were accepted, an attacker who
	// controls one VM could impersonate every other one.
	It("are accepted only for the address that is dialled", func() {
		a := newAuthority("a")
		serverFiles, clientFiles := newFiles(), newFiles()
		Expect(a.Issue(serverFiles, "127.0.0.9", a)).To(Succeed())
		Expect(a.Issue(clientFiles, "127.0.0.1", a)).To(Succeed())
		_, err := call(newSource(clientFiles), startServer(newSource(serverFiles)))
		Expect(err).To(MatchError(ContainSubstring("127.0.0.9")))
	})

	// Certificates expire and authorities are replaced while the processes run. If they were read
	// only at startup, every VM would have to be restarted on the same day.
	It("are reloaded when the files change, on both sides and with the authority", func() {
		a, b := newAuthority("a"), newAuthority("b")
		serverFiles, clientFiles := newFiles(), newFiles()
		Expect(a.Issue(serverFiles, "127.0.0.1", a)).To(Succeed())
		Expect(a.Issue(clientFiles, "127.0.0.1", a)).To(Succeed())
		server, client := newSource(serverFiles), newSource(clientFiles)
		url := startServer(server)
		_, err := call(client, url)
		Expect(err).NotTo(HaveOccurred())

		Expect(b.Issue(serverFiles, "127.0.0.1", b)).To(Succeed())
		Expect(b.Issue(clientFiles, "127.0.0.1", b)).To(Succeed())
		Eventually(func(g Gomega) {
			res, err := call(client, url)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(res.Header.Get("Client")).To(Equal("b"))
		}).WithTimeout(20 * time.Second).WithPolling(200 * time.Millisecond).Should(Succeed())
	})

	// A renewal tool truncates the file before it writes the new content. A handshake in between
	// must neither fail nor terminate the process.
	It("stay in use while a file is broken", func() {
		a := newAuthority("a")
		serverFiles, clientFiles := newFiles(), newFiles()
		Expect(a.Issue(serverFiles, "127.0.0.1", a)).To(Succeed())
		Expect(a.Issue(clientFiles, "127.0.0.1", a)).To(Succeed())
		client := newSource(clientFiles)
		url := startServer(newSource(serverFiles))
		Expect(os.WriteFile(serverFiles.CertFile, nil, 0o600)).To(Succeed())
		time.Sleep(1200 * time.Millisecond)
		_, err := call(client, url)
		Expect(err).NotTo(HaveOccurred())
	})
})
